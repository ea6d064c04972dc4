package controller

import (
	"context"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
)

// answerPromiseRequest answers a leader that can not reach the key-value store. The promise
// comes before the cancellations are collected: what this controller tells users afterwards
// is newer than the request.
func (n *Controller) answerPromiseRequest(ctx context.Context, _ string, request peer.PromiseRequest) peer.PromiseResponse {
	response := peer.PromiseResponse{Granted: n.elector.Promise(ctx, request.FencingToken)}
	if response.Granted && request.SeenRevision > 0 {
		response.Cancellations, response.CancellationsComplete = n.cache.Cancellations(request.SeenRevision)
	}
	return response
}

// requestPromises asks all other controllers for promises and tells whether all are granted.
// The leader's observed state of the jobs counts as renewed only if every controller, this
// one too, has said which cancellations it has told users of and the leader has not seen:
// that none reaches the store now says nothing of what was told before.
func (n *Controller) requestPromises(ctx context.Context, fencingToken uint64) bool {
	askedAt, seenRevision := time.Now(), n.gate.Seen()
	joined := n.peers.RequestPromises(ctx, peer.PromiseRequest{FencingToken: fencingToken, SeenRevision: seenRevision})
	own, complete := n.cache.Cancellations(seenRevision)
	if joined.Granted && joined.CancellationsComplete && complete && seenRevision > 0 {
		n.gate.Cancelled(ctx, append(joined.Cancellations, own...), askedAt)
	}
	return joined.Granted
}

// storeBudget is what this node may ask of the state service.
func (n *Controller) storeBudget(leading bool) kvstore.Budget {
	all := n.settings.Deployment.State.Within()
	b := kvstore.Budget{Requests: leaderRequestShare * all.RPS, Writes: leaderWriteShare * all.WriteRPS}
	if others := float64(n.settings.Deployment.Nodes - 1); !leading && others > 0 {
		b.Requests = (1 - leaderRequestShare) * all.RPS / others
		b.Writes = (1 - leaderWriteShare) * all.WriteRPS / others
	}
	return b
}

func (n *Controller) broadcastUpdate(counts map[string]jobs.Counts, changes []peer.JobChange) {
	n.heard.Store(time.Since(n.born).Nanoseconds())
	n.cache.PutBack(n.gate.PutBack())
	phase := n.gate.RecoveryPhase()
	n.peers.Broadcast(peer.LeaderUpdate{
		JobCounts: counts, StoreAvailable: !n.store.Failing(), ComparingRecords: phase == leader.Comparing, RestoringRecords: phase == leader.Restoring,
		RecordsRolledBack: n.gate.PutBack(), KnownJobs: n.cache.Jobs(), Changes: changes,
	})
}
