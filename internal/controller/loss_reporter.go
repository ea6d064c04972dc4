package controller

import (
	"context"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// lossQueueSize is how many pieces of evidence of lost records may wait to be reported. Further
// evidence adds no information.
const lossQueueSize = 64

// lossReporter reports evidence of lost records to the leader, on this or another controller.
type lossReporter struct {
	node         string
	derived      settings.Derived
	cache        *jobcache.Cache
	elector      *election.Elector
	leaderHandle *leader.Handle
	peers        *peer.Hub

	noticed    chan detection.Evidence
	reportedAt time.Time // when the last notice was sent to a leader; owned by report's goroutine
}

func newLossReporter(node string, derived settings.Derived, cache *jobcache.Cache, elector *election.Elector, gate *leader.Handle, peers *peer.Hub) *lossReporter {
	return &lossReporter{
		node: node, derived: derived, cache: cache, elector: elector, leaderHandle: gate, peers: peers,
		noticed: make(chan detection.Evidence, lossQueueSize),
	}
}

// notice queues evidence to be reported. It may be called from any goroutine and never blocks:
// it drops the evidence if the queue is full.
func (r *lossReporter) notice(loss detection.Evidence) {
	select {
	case r.noticed <- loss:
	default:
	}
}

// report reports queued evidence until the context ends.
func (r *lossReporter) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case loss := <-r.noticed:
			r.reportLoss(loss)
		}
	}
}

// reportLoss reports evidence to the leader. It sends another controller at most one notice per
// leadership lease, because a leader compares all records after any notice.
func (r *lossReporter) reportLoss(loss detection.Evidence) {
	if r.leaderHandle.ReportLoss(loss) {
		return
	}
	r.cache.Readiness.SuspectLossUntil(time.Now().Add(r.derived.Workers.CancelDeadline))
	leaderName := r.elector.Leader()
	if leaderName == "" || leaderName == r.node || time.Since(r.reportedAt) < r.derived.Election.LeaseDuration {
		return
	}
	r.reportedAt = time.Now()
	r.peers.SendLossNotice(leaderName, loss)
}
