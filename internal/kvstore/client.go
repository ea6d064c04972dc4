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

	jsonv2 "github.com/go-json-experiment/json"
	"golang.org/x/time/rate"
)

// Client sends requests to the store, within rate limits of its own. It is safe for use by many
// goroutines.
type Client struct {
	baseURL        string
	http           *http.Client
	timeout        time.Duration // of a request, without the time that a watch is to wait
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter

	failing atomic.Bool   // the last request that tells of outages had no good answer
	outages atomic.Uint64 // how often that began
}

// RateLimits are this node's share of the rates that the store takes from all nodes together,
// and how much of each it may use in one burst.
type RateLimits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // keys that transactions set or remove
}

// New makes a client of the store at an address, on a transport. Each request is given up after
// a timeout, which includes the wait for its turn within the rate limits.
func New(addr string, transport http.RoundTripper, timeout time.Duration, limits RateLimits) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		http:           &http.Client{Transport: transport},
		timeout:        timeout,
		requestLimiter: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), burst(limits.RequestsPerSecond)),
		writeLimiter:   rate.NewLimiter(rate.Limit(limits.WritesPerSecond), burst(limits.WritesPerSecond)),
	}
}

// SetRateLimits changes this node's share; the leader needs more than the others.
func (c *Client) SetRateLimits(limits RateLimits) {
	c.requestLimiter.SetLimit(rate.Limit(limits.RequestsPerSecond))
	c.requestLimiter.SetBurst(burst(limits.RequestsPerSecond))
	c.writeLimiter.SetLimit(rate.Limit(limits.WritesPerSecond))
	c.writeLimiter.SetBurst(burst(limits.WritesPerSecond))
}

// burst is what a limiter lets through at once: what comes due in a second, but always something.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// Failing tells whether the store has stopped answering this node.
func (c *Client) Failing() bool { return c.failing.Load() }

// Outages returns how often the store has stopped answering this node.
func (c *Client) Outages() uint64 { return c.outages.Load() }

// noteFailure notes a request without a good answer.
func (c *Client) noteFailure() {
	if !c.failing.Swap(true) {
		c.outages.Add(1)
	}
}

// request is one HTTP request to the store.
type request struct {
	operation string // for errors
	method    string
	path      string
	body      any  // sent as JSON; nil: none
	answer    any  // what the JSON of the answer is read into; nil: it is not read
	longPoll  bool // it is held open, and its end is no proof that the store answers again
}

// do sends a request within the rate limits, and returns the status of the answer. It fails for
// statuses that say the same of all requests; the others are for the caller to judge.
func (c *Client) do(ctx context.Context, timeout time.Duration, req *request) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return 0, req.failed(0, fmt.Errorf("%w: request rate: %w: %w", ErrNotExecuted, ErrRateLimited, err))
	}
	return c.send(ctx, req)
}

// send is do without rate limits and without a timeout.
func (c *Client) send(ctx context.Context, req *request) (status int, err error) {
	httpRequest, err := c.httpRequest(ctx, req)
	if err != nil {
		return 0, req.failed(0, fmt.Errorf("%w: %w", ErrNotExecuted, err))
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		c.noteFailure()
		return 0, req.failed(0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	defer response.Body.Close()
	status = response.StatusCode
	if status == http.StatusServiceUnavailable {
		c.noteFailure()
	} else if !req.longPoll {
		c.failing.Store(false)
	}
	if err := statusError(status); err != nil {
		return status, req.failed(status, err)
	}
	// The body of a rejection is for the log only: without it, the status still counts.
	if err := req.readAnswer(response.Body); err != nil && status != http.StatusBadRequest {
		return status, req.failed(status, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
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

// statusError is what a status says of any request; nil if its meaning depends on the request.
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

// readAnswer reads a body to its end, so that the connection can be used again.
func (r *request) readAnswer(body io.Reader) error {
	if r.answer == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	err := jsonv2.UnmarshalRead(body, r.answer)
	if errors.Is(err, io.EOF) {
		return nil // an answer without a body
	}
	return err
}
