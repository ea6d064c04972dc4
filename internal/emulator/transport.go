package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"
)

// hostTransport sends the requests of one host over the emulated network.
type hostTransport struct {
	network *Network
	host    string
}

// RoundTrip implements http.RoundTripper.
func (t *hostTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	addr, path := req.URL.Host, req.URL.Path
	if strings.HasPrefix(path, controllerPathPrefix) {
		body = t.network.rewritten(body)
	}
	handler, targetHost := t.network.handlerAt(addr)
	fault := t.network.faultOf(t.host, targetHost, path)
	delay := t.network.delayOf(t.host, targetHost, path)
	ctx := req.Context()
	switch {
	case fault == DropRequest:
		<-ctx.Done()
		return nil, ctx.Err()
	case handler == nil || fault == RefuseConnection:
		return nil, dialError(syscall.ECONNREFUSED)
	}
	if fault == DeliverTwice {
		t.deliverAgain(addr, t.serverRequest(req, body), delay)
	}
	deliveryDelay := time.Duration(0)
	if fault == DeliverLate || fault == DeliverSlowly {
		deliveryDelay = delay
	}
	response := t.deliver(handler, t.serverRequest(req, body), deliveryDelay)
	if fault == DropResponse || fault == DeliverLate {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case resp := <-response:
		if resp.StatusCode == 0 {
			return nil, errNoStatusCode
		}
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var errNoStatusCode = errors.New("response has no status code")

func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	req.Body.Close()
	return body, nil
}

// serverRequest returns the server's copy of a request. Its context is not cancelled with the
// sender's, because the receiver executes a request even if the sender gives up.
func (t *hostTransport) serverRequest(req *http.Request, body []byte) *http.Request {
	in := req.Clone(context.WithoutCancel(req.Context()))
	in.RequestURI = req.URL.RequestURI()
	in.Body = io.NopCloser(bytes.NewReader(body))
	in.RemoteAddr = t.host
	return in
}

// deliver executes a request after a delay, and returns a channel that receives the response.
func (t *hostTransport) deliver(handler http.Handler, req *http.Request, delay time.Duration) <-chan *http.Response {
	response := make(chan *http.Response, 1)
	t.network.deliveries.Go(func() {
		if delay > 0 {
			time.Sleep(delay)
		}
		time.Sleep(transitDelay)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, req)
		if !strings.HasPrefix(req.URL.Path, controllerPathPrefix) {
			recorder.Body = bytes.NewBuffer(t.network.rewritten(recorder.Body.Bytes()))
		}
		time.Sleep(transitDelay)
		response <- recorder.Result()
	})
	return response
}

// controllerPathPrefix begins the paths of requests of users and workers to controllers.
const controllerPathPrefix = "/v1/"

// rewritten returns the body that a controller gets.
func (n *Network) rewritten(body []byte) []byte {
	n.mu.Lock()
	rewrite := n.rewriteBody
	n.mu.Unlock()
	if rewrite == nil {
		return body
	}
	return rewrite(body)
}

// transitDelay is the network latency of a message in each direction.
const transitDelay = time.Millisecond

// deliverAgain executes a copy of a request after the delay, on the host that is at the
// address by then.
func (t *hostTransport) deliverAgain(addr string, request *http.Request, delay time.Duration) {
	t.network.deliveries.Go(func() {
		time.Sleep(delay)
		if handler, _ := t.network.handlerAt(addr); handler != nil {
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}
	})
}
