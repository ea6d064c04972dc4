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

// A comparison must wait for each peer until it has sent all its pages or the cancel deadline has
// passed. A peer that has not finished its own comparison counts as not heard.
func TestComparisonWaitsForPeers(t *testing.T) {
	s := newScenario(t, "node-1", "node-2")
	s.ReportLoss(detection.Evidence{Kind: detection.RecordRemoved}, s.now)
	for _, name := range s.cfg.Peers.Peers() {
		s.comparison.peers[name] = &peerScan{inFlight: true}
	}
	first, second := s.comparison.peers["node-1"], s.comparison.peers["node-2"]

	s.comparison.handlePeerPage("node-1", first, peer.LostJobsResponse{}, nil, s.now) // not ready
	if first.done || !first.retryAt.After(s.now) {
		t.Error("a peer that is not ready counts as heard")
	}
	page := peer.LostJobsResponse{Compared: true, More: true, Jobs: []peer.LostJob{{ID: "j-000004", State: jobs.Queued, Tasks: 3}, {ID: "no id"}}}
	s.comparison.handlePeerPage("node-1", first, page, nil, s.now)
	if first.done || first.cursor != "j-000004" || len(s.knowledge.lost) != 1 {
		t.Errorf("scan %+v, lost jobs %v", first, s.knowledge.lost.IDs())
	}
	s.comparison.handlePeerPage("node-1", first, peer.LostJobsResponse{Compared: true}, nil, s.now)
	s.comparison.handlePeerPage("node-2", second, peer.LostJobsResponse{}, errors.New("no response"), s.now)
	if s.comparison.allPeersDone() {
		t.Error("all peers count as heard before the second has responded")
	}
	s.comparison.queryPeers(t.Context(), s.now.Add(s.cfg.Derived.Workers.CancelDeadline+time.Second))
	if !s.comparison.allPeersDone() || !second.timedOut {
		t.Error("the second peer is still waited for after the cancel deadline")
	}
}

// A response to a request of an earlier round must be ignored.
func TestResponseOfEarlierRoundIsIgnored(t *testing.T) {
	s := newScenario(t, "node-1")
	earlier := &peerScan{inFlight: true}
	s.comparison.startRound(s.now)
	page := peer.LostJobsResponse{Compared: true, Jobs: []peer.LostJob{{ID: "j-000004", State: jobs.Done, Tasks: 3}}}
	s.comparison.handlePeerPage("node-1", earlier, page, nil, s.now)
	if len(s.knowledge.lost) != 0 || earlier.done {
		t.Error("the response was applied")
	}
}

// A job that is finished according to any source must be stopped at once, even if other facts about
// it are still uncertain.
func TestFinishedLostJobIsStopped(t *testing.T) {
	for state, call := range map[string]string{jobs.Cancelled: "cancel j-000001", jobs.Done: "complete j-000001", jobs.Queued: ""} {
		s := newScenario(t)
		s.addJob(jobs.Batch)
		s.knowledge.addCached("j-000001", recovery.FromCache("node-1"), state, 2, nil)
		if call == "" && len(s.leader.calls) > 0 || call != "" && !s.leader.called(call) {
			t.Errorf("%s: calls to the leader: %v", state, s.leader.calls)
		}
	}
}
