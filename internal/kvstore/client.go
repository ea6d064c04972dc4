package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	jsonv2 "github.com/go-json-experiment/json"
	"golang.org/x/time/rate"
)

// Client is safe for use by many goroutines.
type Client struct {
	base   string
	http   *http.Client
	wait   time.Duration
	writes *rate.Limiter
	reqs   *rate.Limiter

	failing atomic.Bool   // the last request that tells had no good answer
	outages atomic.Uint64 // how often that began
}

// Failing tells whether the service has stopped answering this node.
func (c *Client) Failing() bool { return c.failing.Load() }

// RateLimits is this node's part of what the state service takes from all.
type RateLimits struct{ RequestsPerSecond, WritesPerSecond float64 }

// Outages returns how often the service has stopped answering this node.
func (c *Client) Outages() uint64 { return c.outages.Load() }

// failed notes a request without a good answer.
func (c *Client) failed() {
	if !c.failing.Swap(true) {
		c.outages.Add(1)
	}
}

// New makes a client on a transport. Each request waits for at most wait.
func New(addr string, rt http.RoundTripper, wait time.Duration, b RateLimits) *Client {
	return &Client{
		base:   "http://" + addr,
		wait:   wait,
		reqs:   rate.NewLimiter(rate.Limit(b.RequestsPerSecond), max(1, int(b.RequestsPerSecond))),
		writes: rate.NewLimiter(rate.Limit(b.WritesPerSecond), max(1, int(b.WritesPerSecond))),
		http:   &http.Client{Transport: rt},
	}
}

// SetRateLimits changes this node's part; the leader needs more.
func (c *Client) SetRateLimits(b RateLimits) {
	c.reqs.SetLimit(rate.Limit(b.RequestsPerSecond))
	c.reqs.SetBurst(max(1, int(b.RequestsPerSecond)))
	c.writes.SetLimit(rate.Limit(b.WritesPerSecond))
	c.writes.SetBurst(max(1, int(b.WritesPerSecond)))
}

func (c *Client) do(ctx context.Context, wait time.Duration, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := c.reqs.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: request budget: %w: %w", ErrNotExecuted, ErrRateLimited, err)
	}
	return c.send(ctx, method, path, in, out)
}

func (c *Client) send(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed()
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.failed()
	} else if !strings.HasPrefix(path, "/watch") {
		c.failing.Store(false) // an open watch ends in an outage, too
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return resp.StatusCode, fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	case http.StatusServiceUnavailable:
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrNotExecuted, resp.StatusCode)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusBadRequest, http.StatusGone:
	default:
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body) // so that the connection can be used again
	} else if err = jsonv2.UnmarshalRead(resp.Body, out); errors.Is(err, io.EOF) {
		err = nil // an answer without a body
	}
	// What a rejected request is told is for the log only.
	if err != nil && resp.StatusCode != http.StatusBadRequest {
		return resp.StatusCode, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return resp.StatusCode, nil
}
