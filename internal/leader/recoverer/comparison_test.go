package recoverer

import (
	"errors"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// A peer is waited for until it has told all, or has not answered for the time in which a
// cancellation must have its effect.
func TestPeersHeard(t *testing.T) {
	s := newScenario(t, "node-1", "node-2")
	s.ReportLoss(detection.Evidence{Kind: detection.RecordRemoved}, s.now)
	for _, name := range s.cfg.Peers.Peers() {
		s.comparison.peers[name] = &peerScan{inFlight: true}
	}
	first, second := s.comparison.peers["node-1"], s.comparison.peers["node-2"]

	s.comparison.peerAnswered("node-1", first, peer.LostJobsResponse{}, nil, s.now) // not ready
	if first.done || !first.retryAt.After(s.now) {
		t.Error("a peer that is not ready was taken for heard")
	}
	page := peer.LostJobsResponse{Compared: true, More: true, Jobs: []peer.LostJob{{ID: "j-000004", State: jobs.Queued, Tasks: 3}, {ID: "no id"}}}
	s.comparison.peerAnswered("node-1", first, page, nil, s.now)
	if first.done || first.after != "j-000004" || len(s.knowledge.lost) != 1 {
		t.Errorf("scan %+v, known %v", first, s.knowledge.lost.IDs())
	}
	s.comparison.peerAnswered("node-1", first, peer.LostJobsResponse{Compared: true}, nil, s.now)
	s.comparison.peerAnswered("node-2", second, peer.LostJobsResponse{}, errors.New("no answer"), s.now)
	if s.comparison.allPeersHeard() {
		t.Error("the second has not been heard")
	}
	s.comparison.askPeers(t.Context(), s.now.Add(s.cfg.Derived.Workers.CancelDeadline+time.Second))
	if !s.comparison.allPeersHeard() || !second.gone {
		t.Error("the second is still waited for")
	}
}

// The answer to a question of an earlier round says nothing.
func TestAnswerOfAnEarlierRound(t *testing.T) {
	s := newScenario(t, "node-1")
	earlier := &peerScan{inFlight: true}
	s.comparison.begin(s.now)
	page := peer.LostJobsResponse{Compared: true, Jobs: []peer.LostJob{{ID: "j-000004", State: jobs.Done, Tasks: 3}}}
	s.comparison.peerAnswered("node-1", earlier, page, nil, s.now)
	if len(s.knowledge.lost) != 0 || earlier.done {
		t.Error("it was taken in")
	}
}

// What a source has as over stops at once, however much else is open.
func TestLostJobThatIsOverStops(t *testing.T) {
	for state, call := range map[string]string{jobs.Cancelled: "cancel j-000001", jobs.Done: "complete j-000001", jobs.Queued: ""} {
		s := newScenario(t)
		s.addJob(jobs.Batch)
		s.knowledge.addCached("j-000001", recovery.FromCache("node-1"), state, 2, nil)
		if call == "" && len(s.leader.calls) > 0 || call != "" && !s.leader.called(call) {
			t.Errorf("%s: calls %v", state, s.leader.calls)
		}
	}
}
