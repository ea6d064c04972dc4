package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// Questions and pages of lost jobs come out as they went in, and no broken ones end a
// process.
func TestLostMessages(t *testing.T) {
	page := lostJobsResponse{9, LostJobsResponse{Compared: true, More: true, KnownJobs: 7, LossNoticed: true, NewestRevision: 500, ReliesOnNoPromise: true, Jobs: []LostJob{
		{ID: "j-1", State: "done", Tasks: 4}, {ID: "j-2", State: "queued", Tasks: 1, Record: []byte(`{"stance":"queued"}`)},
	}}}
	for name, c := range map[string]struct {
		raw  []byte
		want message
	}{
		"question": {encodeLostJobsRequest("perch-0", lostJobsRequest{9, LostJobsRequest{41, "j-1"}}), message{from: "perch-0", lostJobsRequest: &lostJobsRequest{9, LostJobsRequest{41, "j-1"}}}},
		"notice":   {encodeLossNotice("perch-1", detection.Loss{Kind: detection.RecordMissing, Key: "job/j-1"}), message{from: "perch-1", lossNotice: &detection.Loss{Kind: detection.RecordMissing, Key: "job/j-1"}}},
		"page":     {encodeLostJobsResponse("perch-1", page), message{from: "perch-1", lostJobsResponse: &page}},
	} {
		body := c.raw[4:]
		got, err := decode(body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		opts := []cmp.Option{cmp.AllowUnexported(message{}, lostJobsRequest{}, lostJobsResponse{}), cmp.Comparer(bytes.Equal)}
		if d := cmp.Diff(c.want, got, opts...); d != "" {
			t.Errorf("%s: %s", name, d)
		}
		for n := range body {
			_, _ = decode(body[:n])
			broken := append([]byte(nil), body...)
			broken[n] ^= 0xff
			_, _ = decode(broken)
		}
	}
}

// A page stays within a message, however large the descriptions are; the rest comes with
// the next.
func TestLargePage(t *testing.T) {
	page := lostJobsResponse{1, LostJobsResponse{Compared: true}}
	for i := range 100 {
		page.Jobs = append(page.Jobs, LostJob{ID: fmt.Sprintf("j-%03d", i), Record: make([]byte, 30<<10)})
	}
	raw := encodeLostJobsResponse("perch-0", page)
	m, err := decode(raw[4:])
	if err != nil || len(raw) > maxMessage {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	if got := m.lostJobsResponse; !got.More || len(got.Jobs) == 0 || len(got.Jobs) == 100 || got.Jobs[0].ID != "j-000" {
		t.Errorf("%d jobs, more %v", len(got.Jobs), got.More)
	}
}

// pair is two hubs on loopback, the second of which answers as it is told.
func pair(t *testing.T, lost func(LostJobsRequest) LostJobsResponse) *Hub {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	first, second := listen(), listen()
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	hub := func(self, other string, at net.Listener) *Hub {
		h := NewHub(self, []settings.Peer{{Node: other, Addr: at.Addr().String()}}, dial, 20*time.Millisecond)
		h.OnLeaderUpdate = func(string, LeaderUpdate) {}
		return h
	}
	a, b := hub("perch-0", "perch-1", second), hub("perch-1", "perch-0", first)
	b.OnLostJobsRequest = lost
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { a.Run(ctx, first) })
	duties.Go(func() { b.Run(ctx, second) })
	t.Cleanup(func() { cancel(); duties.Wait() })
	return a
}

// askUntil asks until the connection stands and there is an answer.
func askUntil(h *Hub, after string) (p LostJobsResponse, err error) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		p, err = h.RequestLostJobs(ctx, "perch-1", LostJobsRequest{ComparisonRound: 41, AfterID: after})
		cancel()
		if err == nil {
			return p, nil
		}
	}
	return p, err
}

func TestAskLost(t *testing.T) {
	h := pair(t, func(q LostJobsRequest) LostJobsResponse {
		return LostJobsResponse{Compared: q.ComparisonRound == 41, Jobs: []LostJob{{ID: q.AfterID + "1"}}}
	})
	p, err := askUntil(h, "j-")
	if err != nil || !p.Compared || len(p.Jobs) != 1 || p.Jobs[0].ID != "j-1" {
		t.Errorf("%+v, %v", p, err)
	}
	if _, err := h.RequestLostJobs(context.Background(), "perch-9", LostJobsRequest{ComparisonRound: 1}); err == nil {
		t.Error("asked a node that there is not")
	}
}

// One that does not know the question says nothing, and who asked is not kept waiting.
func TestPeerThatCannotAnswer(t *testing.T) {
	h := pair(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := h.RequestLostJobs(ctx, "perch-1", LostJobsRequest{ComparisonRound: 1}); !errors.Is(err, ErrNoResponse) {
		t.Error(err)
	}
}
