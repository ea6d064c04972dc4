package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/settings"
)

// connectedHub returns the first of two connected hubs on loopback. The second one responds to
// requests for lost jobs by calling respond.
func connectedHub(t *testing.T, respond func(LostJobsRequest) LostJobsResponse) *Hub {
	t.Helper()
	listen := func() net.Listener {
		t.Helper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	first, second := listen(), listen()
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	newHub := func(name, other string, listener net.Listener) *Hub {
		h := NewHub(name, []settings.Peer{{ControllerName: other, Addr: listener.Addr().String()}}, dial, 20*time.Millisecond)
		h.OnLeaderUpdate = func(string, LeaderUpdate) {}
		return h
	}
	requester, responder := newHub("perch-0", "perch-1", second), newHub("perch-1", "perch-0", first)
	responder.OnLostJobsRequest = respond
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { requester.Run(ctx, first) })
	running.Go(func() { responder.Run(ctx, second) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return requester
}

// requestUntilResponse repeats a request until the hubs are connected and there is a response.
func requestUntilResponse(h *Hub, after string) (response LostJobsResponse, err error) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		response, err = h.RequestLostJobs(ctx, "perch-1", LostJobsRequest{ComparisonRound: 41, AfterID: after})
		cancel()
		if err == nil {
			return response, nil
		}
	}
	return response, err
}

func TestRequestLostJobs(t *testing.T) {
	h := connectedHub(t, func(q LostJobsRequest) LostJobsResponse {
		return LostJobsResponse{Compared: q.ComparisonRound == 41, Jobs: []LostJob{{ID: q.AfterID + "1"}}}
	})
	p, err := requestUntilResponse(h, "j-")
	if err != nil || !p.Compared || len(p.Jobs) != 1 || p.Jobs[0].ID != "j-1" {
		t.Errorf("response %+v, error %v", p, err)
	}
	if _, err := h.RequestLostJobs(context.Background(), "perch-9", LostJobsRequest{ComparisonRound: 1}); err == nil {
		t.Error("request to an unknown controller returned no error")
	}
}

// A controller that does not support the request does not respond. The requester must get an error
// when its context is done.
func TestRequestLostJobsWithoutResponse(t *testing.T) {
	h := connectedHub(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := h.RequestLostJobs(ctx, "perch-1", LostJobsRequest{ComparisonRound: 1}); !errors.Is(err, ErrNoResponse) {
		t.Error(err)
	}
}
