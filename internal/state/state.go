// Package state speaks to the state service: a small key-value store with
// strong consistency, guarded transactions, leases and watches.
package state

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
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

	failing atomic.Bool // the last request that tells had no good answer
}

// Failing tells whether the service has stopped answering this node.
func (c *Client) Failing() bool { return c.failing.Load() }

// Budget is this node's part of what the state service takes from all.
type Budget struct{ Requests, Writes float64 }

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
		c.failing.Store(true)
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.failing.Store(true)
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

// Get reads one key. A key that does not exist is found == false with no error.
func (c *Client) Get(ctx context.Context, key string) (p Pair, found bool, err error) {
	status, err := c.do(ctx, c.wait, http.MethodGet, "/keys/"+key, nil, &p)
	switch {
	case err != nil:
		return Pair{}, false, err
	case status == http.StatusOK:
		return p, true, nil
	case status == http.StatusNotFound:
		return Pair{}, false, nil
	}
	return Pair{}, false, unexpected(status, "get "+key)
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there sees every change that later pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) (pairs []Pair, revision uint64, err error) {
	revision, err = c.Each(ctx, prefix, func(p Pair) { pairs = append(pairs, p) })
	if err != nil {
		return nil, 0, err
	}
	return pairs, revision, nil
}

// Each is List for keys of which there may be more than fit into memory: it hands over
// one after the other. After an error, some may have been handed over.
func (c *Client) Each(ctx context.Context, prefix string, take func(Pair)) (revision uint64, err error) {
	after := ""
	for {
		page, err := c.page(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Tide
		}
		for _, p := range page.Pairs {
			take(p)
		}
		if !page.More || len(page.Pairs) == 0 {
			return revision, nil
		}
		after = page.Pairs[len(page.Pairs)-1].Key
	}
}

// keyPage is a part of the keys with a prefix.
type keyPage struct {
	Pairs []Pair `json:"pairs"`
	More  bool   `json:"hasNext"`
	Tide  uint64 `json:"tide"`
}

func (c *Client) page(ctx context.Context, prefix, after string) (page keyPage, err error) {
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&most=1000"
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	status, err := c.do(ctx, c.wait, http.MethodGet, path, nil, &page)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, "list "+prefix)
	}
	return page, err
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

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	var out struct {
		Lease uint64 `json:"tether"`
	}
	status, err := c.do(ctx, c.wait, http.MethodPost, "/grants", map[string]int64{"lifeMs": life.Milliseconds()}, &out)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, "grant")
	}
	return out.Lease, err
}

// Renew gives a lease its full time again. It passes by the node's own request
// budget: nothing else is worth sending when the term is lost. How long it may take is
// for the caller.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	status, err := c.send(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoLease
	case status != http.StatusOK:
		return unexpected(status, "renew")
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, c.wait, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10), nil, nil)
	return err
}

// noKey is a key that is never written: the answer that it does not exist tells
// the revision.
const noKey = "nothing"

// Revision returns a revision that is no older than the call.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	var out struct {
		Tide uint64 `json:"tide"`
	}
	status, err := c.do(ctx, c.wait, http.MethodGet, "/keys/"+noKey, nil, &out)
	if err == nil && status != http.StatusNotFound {
		err = unexpected(status, "revision")
	}
	return out.Tide, err
}

// Watch returns the changes under a prefix after a revision. An empty result
// means that there was none while it waited, or that the service cannot tell: only
// a revision that has reached one asked for with Revision proves anything.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (revision uint64, changes []Change, err error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&waitMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	var out struct {
		Tide uint64   `json:"tide"`
		Log  []Change `json:"log"`
	}
	status, err := c.do(ctx, wait+c.wait, http.MethodGet, path, nil, &out)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusGone:
		return 0, nil, ErrCompacted
	case status != http.StatusOK:
		return 0, nil, unexpected(status, "watch")
	}
	return out.Tide, out.Log, nil
}
