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

// cannedResponse is a transport that gives every request the same response.
type cannedResponse struct {
	status int
	body   string
	err    error // returned instead of a response if set
}

func (a cannedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body)), Request: r}, nil
}

func newTestClient(a cannedResponse) *Client {
	return New("state:1", a, time.Second, RateLimits{RequestsPerSecond: 100, WritesPerSecond: 100})
}

var errConnection = errors.New("connection reset")

// Callers conclude from an error whether the request was executed and why it failed, so each
// response must map to exactly the right set of errors.
func TestErrorClassification(t *testing.T) {
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
		name     string
		response cannedResponse
		call     func(*Client) error
		want     []string // exactly the sentinels that the error wraps; empty if the call succeeds
	}{
		{"commit without a response", cannedResponse{err: errConnection}, commit, []string{"outcome unknown", "connection"}},
		{"commit over the rate limit", cannedResponse{status: 429}, commit, []string{"not executed", "rate limited"}},
		{"commit during an outage", cannedResponse{status: 503}, commit, []string{"not executed"}},
		{"commit with an undefined status", cannedResponse{status: 500}, commit, []string{"outcome unknown"}},
		{"commit with a malformed response", cannedResponse{status: 200, body: "{"}, commit, []string{"outcome unknown"}},
		{"commit that is too large", cannedResponse{status: 400, body: `{"error":"value too large"}`}, commit, []string{"not executed", "invalid"}},
		{"commit rejected without a JSON reason", cannedResponse{status: 400, body: "no JSON"}, commit, []string{"not executed", "invalid"}},
		{"commit with an expired lease", cannedResponse{status: 400, body: `{"error":"no such lease"}`}, commit, []string{"no lease"}},
		{"commit with a failed guard", cannedResponse{status: 409, body: `{"tide":8,"failed":["a"]}`}, commit, nil},
		{"commit with status 410", cannedResponse{status: 410, body: "{}"}, commit, []string{"not executed"}},
		{"commit", cannedResponse{status: 200, body: `{"tide":8}`}, commit, nil},
		{"watch of compacted changes", cannedResponse{status: 410, body: "{}"}, watch, []string{"compacted"}},
		{"watch with status 404", cannedResponse{status: 404, body: "{}"}, watch, []string{"not executed"}},
		{"watch without a response", cannedResponse{err: errConnection}, watch, []string{"outcome unknown", "connection"}},
		{"get of a missing key", cannedResponse{status: 404, body: "{}"}, get, nil},
		{"get with status 409", cannedResponse{status: 409, body: "{}"}, get, []string{"not executed"}},
		{"list with status 404", cannedResponse{status: 404, body: "{}"}, list, []string{"not executed"}},
		{"revision while the absent key exists", cannedResponse{status: 200, body: "{}"}, revision, []string{"not executed"}},
		{"lease granted", cannedResponse{status: 200, body: `{"tether":7}`}, grant, nil},
		{"lease with status 404", cannedResponse{status: 404, body: "{}"}, grant, []string{"not executed"}},
		{"renewal of an expired lease", cannedResponse{status: 404, body: "{}"}, renew, []string{"no lease"}},
		{"renewal with status 409", cannedResponse{status: 409, body: "{}"}, renew, []string{"not executed"}},
		{"renewal", cannedResponse{status: 200}, renew, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.call(newTestClient(test.response))
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

// A request that exceeds the client's own rate limits must fail before it is sent. Only the request
// limit is reported as ErrRateLimited; the write limit is not.
func TestClientRateLimitsPreventSending(t *testing.T) {
	transport := cannedResponse{err: errConnection}
	limits := RateLimits{RequestsPerSecond: 0.001, WritesPerSecond: 0.001}
	for name, write := range map[string][]Write{"requests": nil, "writes": {{Remove: "a"}}} {
		client := New("state:1", transport, 10*time.Millisecond, limits)
		if _, _, err := client.Commit(t.Context(), nil, write); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("limit of %s: first request, which is within the limit: %v", name, err)
		}
		_, _, err := client.Commit(t.Context(), nil, write)
		if !errors.Is(err, ErrNotExecuted) || errors.Is(err, errConnection) || errors.Is(err, ErrRateLimited) != (write == nil) {
			t.Errorf("limit of %s: second request: %v", name, err)
		}
	}
}

// An outage starts with a request that gets no response or a 503, and ends with any other response. A
// watch can start an outage but not end it, because an open watch may get its response during one.
func TestOutageTracking(t *testing.T) {
	response := &cannedResponse{}
	client := New("state:1", roundTripperFunc(func(r *http.Request) (*http.Response, error) { return response.RoundTrip(r) }),
		time.Second, RateLimits{RequestsPerSecond: 100, WritesPerSecond: 100})
	get := func() { _, _, _ = client.Get(t.Context(), "a") }
	watch := func() { _, _, _ = client.Watch(t.Context(), "", 1, time.Millisecond) }
	for i, step := range []struct {
		response cannedResponse
		call     func()
		failing  bool
		outages  uint64
	}{
		{cannedResponse{status: 404, body: "{}"}, get, false, 0},
		{cannedResponse{status: 503}, get, true, 1},
		{cannedResponse{err: errConnection}, get, true, 1},
		{cannedResponse{status: 200, body: "{}"}, watch, true, 1},
		{cannedResponse{status: 429}, get, false, 1},
		{cannedResponse{status: 503}, watch, true, 2},
		{cannedResponse{status: 200, body: "{}"}, get, false, 2},
	} {
		*response = step.response
		step.call()
		if client.Failing() != step.failing || client.Outages() != step.outages {
			t.Errorf("step %d: failing %v, outages %d", i, client.Failing(), client.Outages())
		}
	}
}

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A RequestError names the operation and the status of the response, if there was one.
func TestRequestErrorFields(t *testing.T) {
	for _, test := range []struct {
		response cannedResponse
		call     func(*Client) error
		want     RequestError // Err is not compared
		text     string
	}{
		{
			cannedResponse{status: 409, body: "{}"},
			func(c *Client) error { _, _, err := c.Get(t.Context(), "term/holder"); return err },
			RequestError{Operation: "get term/holder", Status: 409},
			"get term/holder: state service refused the request: status 409",
		},
		{
			cannedResponse{status: 400, body: `{"error":"value too large"}`},
			func(c *Client) error { _, _, err := c.Commit(t.Context(), nil, nil); return err },
			RequestError{Operation: "commit", Status: 400},
			"commit: state service refused the request: invalid request: value too large",
		},
		{
			cannedResponse{err: errConnection},
			func(c *Client) error { _, _, err := c.List(t.Context(), "job/"); return err },
			RequestError{Operation: "list job/"},
			`list job/: outcome unknown: Get "http://state:1/keys?prefix=job%2F&most=1000": connection reset`,
		},
		{
			cannedResponse{status: 404, body: "{}"},
			func(c *Client) error { return c.RenewLease(t.Context(), 7) },
			RequestError{Operation: "renew lease", Status: 404},
			"renew lease: no such lease",
		},
	} {
		err := test.call(newTestClient(test.response))
		var requestErr *RequestError
		if !errors.As(err, &requestErr) {
			t.Errorf("%v is not a RequestError", err)
			continue
		}
		if requestErr.Operation != test.want.Operation || requestErr.Status != test.want.Status || err.Error() != test.text {
			t.Errorf("got %+v, text %q; want %+v, text %q", requestErr, err, test.want, test.text)
		}
	}
}
