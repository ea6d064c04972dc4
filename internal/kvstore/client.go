package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ospreyslip/internal/wirejson"
)

// Client sends requests to the key-value store at a limited rate. It is safe for concurrent use by
// multiple goroutines.
type Client struct {
	baseURL        string
	http           *http.Client
	timeout        time.Duration // of one request; a watch adds its own wait
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter

	failing atomic.Bool   // the last request got no response or a 503; a watch that got a response does not count
	outages atomic.Uint64 // how many times failing became true
}

// RateLimits is this controller's share of the rates that the store allows all controllers in
// total. Each rate also sets the size of a burst: one second's worth, but at least 1.
type RateLimits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // keys set or removed by transactions
}

// New returns a client of the store at addr, a host:port, that sends its requests through
// transport. Each request fails after timeout, which includes its wait for the rate limits; a list,
// after timeout without progress. Watch adds its own wait, and only the context bounds RenewLease.
func New(addr string, transport http.RoundTripper, timeout time.Duration, limits RateLimits) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		http:           &http.Client{Transport: transport},
		timeout:        timeout,
		requestLimiter: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), burst(limits.RequestsPerSecond)),
		writeLimiter:   rate.NewLimiter(rate.Limit(limits.WritesPerSecond), burst(limits.WritesPerSecond)),
	}
}

// SetRateLimits changes this controller's share of the rates. The leader needs a larger share than
// the other controllers.
func (c *Client) SetRateLimits(limits RateLimits) {
	c.requestLimiter.SetLimit(rate.Limit(limits.RequestsPerSecond))
	c.requestLimiter.SetBurst(burst(limits.RequestsPerSecond))
	c.writeLimiter.SetLimit(rate.Limit(limits.WritesPerSecond))
	c.writeLimiter.SetBurst(burst(limits.WritesPerSecond))
}

// burst returns the burst size of a rate: one second's worth, but at least 1, because a limiter with
// a burst of 0 lets no request through.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// Failing reports whether the store is unavailable to this controller.
func (c *Client) Failing() bool { return c.failing.Load() }

// Outages returns how many times the store has become unavailable to this controller.
func (c *Client) Outages() uint64 { return c.outages.Load() }

// noteFailure records that the store was unavailable to a request. It counts an outage unless one
// is already under way.
func (c *Client) noteFailure() {
	if !c.failing.Swap(true) {
		c.outages.Add(1)
	}
}

// request describes one HTTP request to the store.
type request struct {
	operation string // RequestError.Operation
	method    string
	path      string
	body      any  // sent as JSON; nil sends no body
	result    any  // destination of the response's JSON body; nil discards the body
	longPoll  bool // the store may delay the response, which therefore does not prove that it is available
	// largeResponse applies the timeout to each part of the response rather than to all of it. On a
	// busy processor, reading it may take longer than the timeout.
	largeResponse bool
	progress      *progressTimeout // set by do for a large response
}

// do sends a request within the request rate and a timeout, and returns the status of the response.
// A status that means the same for every request is returned as an error; the caller interprets all
// others.
func (c *Client) do(ctx context.Context, timeout time.Duration, req *request) (status int, err error) {
	if req.largeResponse {
		var progress *progressTimeout
		ctx, progress = withProgressTimeout(ctx, timeout)
		defer progress.stop()
		req.progress = progress
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return 0, req.newError(0, fmt.Errorf("%w: request rate: %w: %w", ErrNotExecuted, ErrRateLimited, err))
	}
	return c.send(ctx, req)
}

// send is like do, but applies neither the rate limit nor a timeout.
func (c *Client) send(ctx context.Context, req *request) (status int, err error) {
	httpRequest, err := c.httpRequest(ctx, req)
	if err != nil {
		return 0, req.newError(0, fmt.Errorf("%w: %w", ErrNotExecuted, err))
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		c.noteFailure()
		return 0, req.newError(0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	defer response.Body.Close()
	status = response.StatusCode
	if status == http.StatusServiceUnavailable {
		c.noteFailure()
	} else if !req.longPoll {
		c.failing.Store(false)
	}
	if err := statusError(status); err != nil {
		return status, req.newError(status, err)
	}
	// A rejection is definite even if its body, which only states the reason, cannot be read.
	if err := req.decodeResponse(response.Body); err != nil && status != http.StatusBadRequest {
		return status, req.newError(status, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	return status, nil
}

func (c *Client) httpRequest(ctx context.Context, req *request) (*http.Request, error) {
	if req.body == nil {
		return http.NewRequestWithContext(ctx, req.method, c.baseURL+req.path, nil)
	}
	body, err := json.Marshal(req.body)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, c.baseURL+req.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	return httpRequest, nil
}

// statusError returns the error that a status means for every request, or nil if its meaning depends
// on the request.
func statusError(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusBadRequest, http.StatusGone:
		return nil
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// decodeResponse decodes or discards a response body. It reads to the end of the body, so that the
// connection can be reused.
func (r *request) decodeResponse(body io.Reader) error {
	if r.progress != nil {
		body = r.progress.reader(body)
	}
	if r.result == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	err := wirejson.UnmarshalRead(body, r.result)
	if errors.Is(err, io.EOF) {
		return nil // the response has no body
	}
	return err
}
