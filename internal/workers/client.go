package workers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"

	"ospreyslip/internal/wirejson"
)

// ErrProbeRefused means that a worker responded to a probe with status 409 instead of 200.
var ErrProbeRefused = errors.New("worker refused the probe")

// StatusError means that a worker responded with a status that the protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// OutOfSockets reports whether a request failed because this process could not get a socket, which
// says nothing about the worker.
func OutOfSockets(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Client sends requests to workers. It is safe for concurrent use by multiple goroutines.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client that sends its requests through transport. Each request takes at most
// timeout.
func NewClient(transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{timeout: timeout, http: &http.Client{Transport: transport}}
}

// SendCommands sends commands once to the worker at addr. It returns the heartbeat with which the
// worker responds, and whether the worker executed the commands: it refuses a fencing token or an
// agent epoch that is not current. After an error the outcome is unknown, and the worker may still
// execute the commands at any later time.
func (c *Client) SendCommands(ctx context.Context, addr string, request CommandRequest) (heartbeat *Heartbeat, executed bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, err
	}
	return c.do(ctx, http.MethodPost, "http://"+addr+"/orders", body)
}

// Probe requests a heartbeat from the worker at addr.
func (c *Client) Probe(ctx context.Context, addr string) (*Heartbeat, error) {
	heartbeat, ok, err := c.do(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err == nil && !ok {
		err = ErrProbeRefused
	}
	return heartbeat, err
}

// do sends one request and decodes the heartbeat in the response. executed is false if the worker
// responded with status 409.
func (c *Client) do(ctx context.Context, method, url string, body []byte) (heartbeat *Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody the transport cannot resend the request on its own. A second copy could
	// start a task again after its ended attempt was cleared.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, &StatusError{resp.StatusCode}
	}
	heartbeat = new(Heartbeat)
	if err := wirejson.UnmarshalRead(io.LimitReader(resp.Body, maxHeartbeatBytes), heartbeat); err != nil {
		return nil, false, err
	}
	return heartbeat, resp.StatusCode == http.StatusOK, nil
}
