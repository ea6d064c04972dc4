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

// lossQueueSize is how much evidence of lost records waits to be handed on. More tells
// nothing new.
const lossQueueSize = 64

// lossReporter hands evidence of lost records to the leader, here or elsewhere.
type lossReporter struct {
	node         string
	derived      settings.Derived
	cache        *jobcache.Cache
	elector      *election.Elector
	leaderHandle *leader.Handle
	peers        *peer.Hub

	noticed    chan detection.Evidence
	reportedAt time.Time // when another leader was last told; owned by report's goroutine
}

func newLossReporter(node string, derived settings.Derived, cache *jobcache.Cache, elector *election.Elector, gate *leader.Handle, peers *peer.Hub) *lossReporter {
	return &lossReporter{
		node: node, derived: derived, cache: cache, elector: elector, leaderHandle: gate, peers: peers,
		noticed: make(chan detection.Evidence, lossQueueSize),
	}
}

// notice queues evidence. It may be called from any goroutine and never blocks: evidence
// beyond the queue is dropped.
func (r *lossReporter) notice(loss detection.Evidence) {
	select {
	case r.noticed <- loss:
	default:
	}
}

// report hands queued evidence on until the context ends.
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

// reportLoss hands evidence to the leader. Another controller is told once a leadership lease
// at most: it compares all records anyway.
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
