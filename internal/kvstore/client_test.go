package kvstore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cannedAnswer is a transport that gives every request the same response.
type cannedAnswer struct {
	status int
	body   string
	err    error // returned instead of a response if set
}

func (a cannedAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body)), Request: r}, nil
}

func clientWith(a cannedAnswer) *Client {
	return New("state:1", a, time.Second, RateLimits{RequestsPerSecond: 100, WritesPerSecond: 100})
}

var errConnection = errors.New("connection reset")

// Callers conclude from an error whether the request was executed and why it failed, so each
// response must map to exactly the right set of errors.
func TestWhatErrorsSay(t *testing.T) {
	sentinels := map[string]error{
		"not executed": ErrNotExecuted, "outcome unknown": ErrOutcomeUnknown, "rate limited": ErrRateLimited,
		"invalid": ErrInvalidRequest, "no lease": ErrLeaseNotFound, "compacted": ErrCompacted, "connection": errConnection,
	}
	commit := func(c *Client) error {
		_, _, err := c.Commit(context.Background(), nil, []Write{{Set: "a", Value: []byte("1")}})
		return err
	}
	watch := func(c *Client) error {
		_, _, err := c.Watch(context.Background(), "job/", 1, time.Millisecond)
		return err
	}
	get := func(c *Client) error {
		_, _, err := c.Get(context.Background(), "a")
		return err
	}
	list := func(c *Client) error {
		_, _, err := c.List(context.Background(), "job/")
		return err
	}
	revision := func(c *Client) error {
		_, err := c.Revision(context.Background())
		return err
	}
	grant := func(c *Client) error {
		_, err := c.GrantLease(context.Background(), time.Second)
		return err
	}
	renew := func(c *Client) error { return c.RenewLease(context.Background(), 7) }
	for _, test := range []struct {
		name   string
		answer cannedAnswer
		call   func(*Client) error
		want   []string // exactly the sentinels that the error wraps; empty if the call succeeds
	}{
		{"commit without a response", cannedAnswer{err: errConnection}, commit, []string{"outcome unknown", "connection"}},
		{"commit over the rate limit", cannedAnswer{status: 429}, commit, []string{"not executed", "rate limited"}},
		{"commit during an outage", cannedAnswer{status: 503}, commit, []string{"not executed"}},
		{"commit with an undefined status", cannedAnswer{status: 500}, commit, []string{"outcome unknown"}},
		{"commit with a malformed response", cannedAnswer{status: 200, body: "{"}, commit, []string{"outcome unknown"}},
		{"commit that is too large", cannedAnswer{status: 400, body: `{"error":"value too large"}`}, commit, []string{"not executed", "invalid"}},
		{"commit rejected without a JSON reason", cannedAnswer{status: 400, body: "no JSON"}, commit, []string{"not executed", "invalid"}},
		{"commit with a lease that has ended", cannedAnswer{status: 400, body: `{"error":"no such lease"}`}, commit, []string{"no lease"}},
		{"commit with a failed guard", cannedAnswer{status: 409, body: `{"tide":8,"failed":["a"]}`}, commit, nil},
		{"commit with status 410", cannedAnswer{status: 410, body: "{}"}, commit, []string{"not executed"}},
		{"commit", cannedAnswer{status: 200, body: `{"tide":8}`}, commit, nil},
		{"watch of compacted changes", cannedAnswer{status: 410, body: "{}"}, watch, []string{"compacted"}},
		{"watch with status 404", cannedAnswer{status: 404, body: "{}"}, watch, []string{"not executed"}},
		{"watch without a response", cannedAnswer{err: errConnection}, watch, []string{"outcome unknown", "connection"}},
		{"get of a missing key", cannedAnswer{status: 404, body: "{}"}, get, nil},
		{"get with status 409", cannedAnswer{status: 409, body: "{}"}, get, []string{"not executed"}},
		{"list with status 404", cannedAnswer{status: 404, body: "{}"}, list, []string{"not executed"}},
		{"revision while the absent key exists", cannedAnswer{status: 200, body: "{}"}, revision, []string{"not executed"}},
		{"lease granted", cannedAnswer{status: 200, body: `{"tether":7}`}, grant, nil},
		{"lease with status 404", cannedAnswer{status: 404, body: "{}"}, grant, []string{"not executed"}},
		{"renewal of a lease that has ended", cannedAnswer{status: 404, body: "{}"}, renew, []string{"no lease"}},
		{"renewal with status 409", cannedAnswer{status: 409, body: "{}"}, renew, []string{"not executed"}},
		{"renewal", cannedAnswer{status: 200}, renew, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.call(clientWith(test.answer))
			if (err == nil) != (len(test.want) == 0) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			wanted := map[string]bool{}
			for _, name := range test.want {
				wanted[name] = true
			}
			for name, sentinel := range sentinels {
				if errors.Is(err, sentinel) != wanted[name] {
					t.Errorf("error %v: errors.Is for %q is %v", err, name, !wanted[name])
				}
			}
		})
	}
}

// The client's own rate limits fail a request before it is sent. Only the limit of requests is
// reported as ErrRateLimited; the error of the limit of writes does not tell the reason.
func TestOwnLimitsSendNothing(t *testing.T) {
	sent := cannedAnswer{err: errConnection}
	limits := RateLimits{RequestsPerSecond: 0.001, WritesPerSecond: 0.001}
	for name, write := range map[string][]Write{"requests": nil, "writes": {{Remove: "a"}}} {
		client := New("state:1", sent, 10*time.Millisecond, limits)
		if _, _, err := client.Commit(t.Context(), nil, write); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("limit of %s: first request, which is within the limit: %v", name, err)
		}
		_, _, err := client.Commit(t.Context(), nil, write)
		if !errors.Is(err, ErrNotExecuted) || errors.Is(err, errConnection) || errors.Is(err, ErrRateLimited) != (write == nil) {
			t.Errorf("limit of %s: second request: %v", name, err)
		}
	}
}

// An outage begins with a request that gets no response or a 503, and ends with another response. A
// watch can only begin one, as an open watch may get its response during the outage.
func TestOutages(t *testing.T) {
	answer := &cannedAnswer{}
	client := New("state:1", transportFunc(func(r *http.Request) (*http.Response, error) { return answer.RoundTrip(r) }),
		time.Second, RateLimits{RequestsPerSecond: 100, WritesPerSecond: 100})
	get := func() { _, _, _ = client.Get(t.Context(), "a") }
	watch := func() { _, _, _ = client.Watch(t.Context(), "", 1, time.Millisecond) }
	for i, step := range []struct {
		answer  cannedAnswer
		call    func()
		failing bool
		outages uint64
	}{
		{cannedAnswer{status: 404, body: "{}"}, get, false, 0},
		{cannedAnswer{status: 503}, get, true, 1},
		{cannedAnswer{err: errConnection}, get, true, 1},
		{cannedAnswer{status: 200, body: "{}"}, watch, true, 1},
		{cannedAnswer{status: 429}, get, false, 1},
		{cannedAnswer{status: 503}, watch, true, 2},
		{cannedAnswer{status: 200, body: "{}"}, get, false, 2},
	} {
		*answer = step.answer
		step.call()
		if client.Failing() != step.failing || client.Outages() != step.outages {
			t.Errorf("step %d: failing %v, outages %d", i, client.Failing(), client.Outages())
		}
	}
}

type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A RequestError names the operation and the status of the response, if there was one.
func TestErrorsNameTheRequest(t *testing.T) {
	for _, test := range []struct {
		answer cannedAnswer
		call   func(*Client) error
		want   RequestError // Err is not compared
		text   string
	}{
		{
			cannedAnswer{status: 409, body: "{}"},
			func(c *Client) error { _, _, err := c.Get(t.Context(), "term/holder"); return err },
			RequestError{Operation: "get term/holder", Status: 409},
			"get term/holder: state service refused the request: status 409",
		},
		{
			cannedAnswer{status: 400, body: `{"error":"value too large"}`},
			func(c *Client) error { _, _, err := c.Commit(t.Context(), nil, nil); return err },
			RequestError{Operation: "commit", Status: 400},
			"commit: state service refused the request: invalid request: value too large",
		},
		{
			cannedAnswer{err: errConnection},
			func(c *Client) error { _, _, err := c.List(t.Context(), "job/"); return err },
			RequestError{Operation: "list job/"},
			`list job/: outcome unknown: Get "http://state:1/keys?prefix=job%2F&most=1000": connection reset`,
		},
		{
			cannedAnswer{status: 404, body: "{}"},
			func(c *Client) error { return c.RenewLease(t.Context(), 7) },
			RequestError{Operation: "renew lease", Status: 404},
			"renew lease: no such lease",
		},
	} {
		err := test.call(clientWith(test.answer))
		var failed *RequestError
		if !errors.As(err, &failed) {
			t.Errorf("%v is not a RequestError", err)
			continue
		}
		if failed.Operation != test.want.Operation || failed.Status != test.want.Status || err.Error() != test.text {
			t.Errorf("got %+v, text %q; want %+v, text %q", failed, err, test.want, test.text)
		}
	}
}
