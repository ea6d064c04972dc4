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
	// ErrRefused means that the request was certainly not executed.
	ErrRefused = errors.New("state service refused the request")
	// ErrBusy comes with ErrRefused where a limit was the reason, the service's or
	// this node's own: it says nothing of an outage.
	ErrBusy = errors.New("over the limit")
	// ErrRejected comes with ErrRefused where the request itself was the reason, as
	// it is larger than the service takes: sent again, it would be refused again.
	ErrRejected = errors.New("rejected as it is")
	// ErrUnknown means that the request may have been executed, or may yet be.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted means that a watch asked for changes no longer kept.
	ErrCompacted = errors.New("changes no longer kept")
)

// Pair is a key, its value and the revision of its last change.
type Pair struct {
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

// Budget is this node's part of what the state service takes from all.
type Budget struct{ Requests, Writes float64 }

// Outages returns how often the service has stopped answering this node.
func (c *Client) Outages() uint64 { return c.outages.Load() }

// failed notes a request without a good answer.
func (c *Client) failed() {
	if !c.failing.Swap(true) {
		c.outages.Add(1)
	}
}

// New makes a client on a transport. Each request waits for at most wait.
func New(addr string, rt http.RoundTripper, wait time.Duration, b Budget) *Client {
	return &Client{
		base:   "http://" + addr,
		wait:   wait,
		reqs:   rate.NewLimiter(rate.Limit(b.Requests), max(1, int(b.Requests))),
		writes: rate.NewLimiter(rate.Limit(b.Writes), max(1, int(b.Writes))),
		http:   &http.Client{Transport: rt},
	}
}

// SetBudget changes this node's part; the leader needs more.
func (c *Client) SetBudget(b Budget) {
	c.reqs.SetLimit(rate.Limit(b.Requests))
	c.reqs.SetBurst(max(1, int(b.Requests)))
	c.writes.SetLimit(rate.Limit(b.Writes))
	c.writes.SetBurst(max(1, int(b.Writes)))
}

func (c *Client) do(ctx context.Context, wait time.Duration, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := c.reqs.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: request budget: %w: %w", ErrRefused, ErrBusy, err)
	}
	return c.send(ctx, method, path, in, out)
}

func (c *Client) send(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed()
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.failed()
	} else if !strings.HasPrefix(path, "/watch") {
		c.failing.Store(false) // an open watch ends in an outage, too
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return resp.StatusCode, fmt.Errorf("%w: %w", ErrRefused, ErrBusy)
	case http.StatusServiceUnavailable:
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusBadRequest, http.StatusGone:
	default:
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body) // so that the connection can be used again
	} else if err = jsonv2.UnmarshalRead(resp.Body, out); errors.Is(err, io.EOF) {
		err = nil // an answer without a body
	}
	// What a rejected request is told is for the log only.
	if err != nil && resp.StatusCode != http.StatusBadRequest {
		return resp.StatusCode, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return resp.StatusCode, nil
}

func unexpected(status int, what string) error {
	return fmt.Errorf("%w: %s: status %d", ErrRefused, what, status)
}

// Commit applies a transaction. Failed guards are returned by key with no
// error; then nothing was written. ErrUnknown leaves the outcome open.
func (c *Client) Commit(ctx context.Context, guards []Guard, writes []Write) (revision uint64, failed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if n := len(writes); n > 0 {
		if err := c.writes.WaitN(ctx, min(n, c.writes.Burst())); err != nil {
			return 0, nil, fmt.Errorf("%w: write budget: %w", ErrRefused, err)
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
		return 0, nil, ErrNoLease
	case status == http.StatusBadRequest:
		return 0, nil, fmt.Errorf("%w: %w: %s", ErrRefused, ErrRejected, out.Error)
	}
	return 0, nil, unexpected(status, "commit")
}
