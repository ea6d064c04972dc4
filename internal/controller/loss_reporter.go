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
	controllerName string
	derived        settings.Derived
	cache          *jobcache.Cache
	elector        *election.Elector
	leaderHandle   *leader.Handle
	peers          *peer.Hub

	queue        chan detection.Evidence
	lastNoticeAt time.Time // when the last notice was sent to a leader; owned by run's goroutine
}

func newLossReporter(controllerName string, derived settings.Derived, cache *jobcache.Cache, elector *election.Elector, leaderHandle *leader.Handle, peers *peer.Hub) *lossReporter {
	return &lossReporter{
		controllerName: controllerName, derived: derived, cache: cache, elector: elector, leaderHandle: leaderHandle, peers: peers,
		queue: make(chan detection.Evidence, lossQueueSize),
	}
}

// enqueue queues evidence to be reported. It may be called from any goroutine and never blocks:
// it drops the evidence if the queue is full.
func (r *lossReporter) enqueue(loss detection.Evidence) {
	select {
	case r.queue <- loss:
	default:
	}
}

// run reports queued evidence until the context ends.
func (r *lossReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case loss := <-r.queue:
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
	if leaderName == "" || leaderName == r.controllerName || time.Since(r.lastNoticeAt) < r.derived.Election.LeaseDuration {
		return
	}
	r.lastNoticeAt = time.Now()
	r.peers.SendLossNotice(leaderName, loss)
}
