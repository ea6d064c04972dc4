// Package kvstore speaks to the state service: a small key-value store with
// strong consistency, guarded transactions, leases and watches.
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

var (
	// ErrNotExecuted means that the request was certainly not executed.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrRateLimited comes with ErrRefused where a limit was the reason, the service's or
	// this node's own: it says nothing of an outage.
	ErrRateLimited = errors.New("over the limit")
	// ErrInvalidRequest comes with ErrRefused where the request itself was the reason, as
	// it is larger than the service takes: sent again, it would be refused again.
	ErrInvalidRequest = errors.New("rejected as it is")
	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch asked for changes no longer kept.
	ErrCompacted = errors.New("changes no longer kept")
)

// KeyValue is a key, its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"mark"`
	Lease    uint64          `json:"tether,omitempty"`
}

// Guard demands that a key is at a revision; 0 demands its absence.
type Guard struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

// Write sets or removes one key.
type Write struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Remove string          `json:"remove,omitempty"`
}

// Change is one entry of a watch.
type Change struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Remove   string          `json:"remove"`
	Revision uint64          `json:"mark"`
}

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

func unexpected(status int, what string) error {
	return fmt.Errorf("%w: %s: status %d", ErrNotExecuted, what, status)
}

// Commit applies a transaction. Failed guards are returned by key with no
// error; then nothing was written. ErrUnknown leaves the outcome open.
func (c *Client) Commit(ctx context.Context, guards []Guard, writes []Write) (revision uint64, failed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if n := len(writes); n > 0 {
		if err := c.writes.WaitN(ctx, min(n, c.writes.Burst())); err != nil {
			return 0, nil, fmt.Errorf("%w: write budget: %w", ErrNotExecuted, err)
		}
	}
	in := struct {
		Guards []Guard `json:"guards"`
		Writes []Write `json:"writes"`
	}{guards, writes}
	var out struct {
		Tide   uint64   `json:"tide"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	status, err := c.do(ctx, c.wait, http.MethodPost, "/commit", in, &out)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK:
		return out.Tide, nil, nil
	case status == http.StatusConflict:
		return out.Tide, out.Failed, nil
	case status == http.StatusBadRequest && out.Error == "no such lease":
		return 0, nil, ErrLeaseNotFound
	case status == http.StatusBadRequest:
		return 0, nil, fmt.Errorf("%w: %w: %s", ErrNotExecuted, ErrInvalidRequest, out.Error)
	}
	return 0, nil, unexpected(status, "commit")
}
