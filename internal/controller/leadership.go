package controller

import (
	"context"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// campaign takes part in the election until the context ends, and leads while elected.
func (c *Controller) campaign(ctx context.Context) {
	deps := leader.Deps{
		Settings: c.settings, Derived: c.derived, Node: c.settings.Node,
		Store: c.store, Cloud: c.cloud, Workers: c.workers, Cache: c.cache, Counts: c.jobCounts, MachineTypes: c.machineTypes.types,
		IsLeader: c.elector.IsLeader, PeerLeasesRequestedAt: c.elector.PeerLeasesRequestedAt, TokenRaised: c.elector.TokenRaised,
		Peers: c.peers, Broadcast: c.broadcastUpdate,
	}
	c.elector.Run(ctx, func(ctx context.Context, term election.Term) {
		c.store.SetRateLimits(storeBudget(c.settings, true))
		defer c.store.SetRateLimits(storeBudget(c.settings, false))
		c.leaderHandle.Lead(ctx, deps, term)
	})
}

// storeBudget is what this controller may ask of the key-value store. The budgets of all
// controllers together stay within what the store takes.
func storeBudget(set *settings.Settings, leading bool) kvstore.RateLimits {
	all := set.Deployment.Store.Effective()
	budget := kvstore.RateLimits{RequestsPerSecond: settings.LeaderRequestShare * all.RPS, WritesPerSecond: settings.LeaderWriteShare * all.WriteRPS}
	if others := float64(set.Deployment.Nodes - 1); !leading && others > 0 {
		budget.RequestsPerSecond = (1 - settings.LeaderRequestShare) * all.RPS / others
		budget.WritesPerSecond = (1 - settings.LeaderWriteShare) * all.WriteRPS / others
	}
	return budget
}

// otherLeader returns the leader's name; empty if there is none, or if it is this controller.
func (c *Controller) otherLeader() string {
	if name := c.elector.Leader(); name != c.settings.Node {
		return name
	}
	return ""
}

// leadershipKeyLost takes in that the store has lost keys of the election.
func (c *Controller) leadershipKeyLost(loss detection.Evidence) {
	// Now, before leadership ends and with it what the leader knows.
	c.cache.Readiness.SuspectLossUntil(time.Now().Add(c.derived.Workers.CancelDeadline))
	c.losses.notice(loss)
}

// receiveLossNotice takes in another controller's evidence of lost records, if this one leads.
func (c *Controller) receiveLossNotice(_ string, loss detection.Evidence) {
	if !loss.Kind.AffectsLog() {
		loss.Kind = detection.ReportedByPeer
	}
	c.leaderHandle.ReportLoss(loss)
}

// broadcastUpdate sends the leader's update to the other controllers. The leader calls it.
func (c *Controller) broadcastUpdate(counts map[string]jobs.Counts, changes []peer.JobChange) {
	c.readiness.leaderHeard()
	c.cache.Readiness.SetRolledBack(c.leaderHandle.StoreRolledBack())
	phase := c.leaderHandle.RecoveryPhase()
	c.peers.Broadcast(peer.LeaderUpdate{
		JobCounts:         counts,
		StoreAvailable:    !c.store.Failing(),
		ComparingRecords:  phase == recoverer.Comparing,
		RestoringRecords:  phase == recoverer.Restoring,
		RecordsRolledBack: c.leaderHandle.StoreRolledBack(),
		KnownJobs:         c.cache.JobCount(),
		Changes:           changes,
	})
}

// followLeader takes in another controller's update. While this one leads itself, the other
// is a leader that does not know yet that it was replaced.
func (c *Controller) followLeader(_ string, update peer.LeaderUpdate) {
	if c.elector.IsLeader() {
		return
	}
	c.jobCounts.Replace(update.JobCounts)
	for _, change := range update.Changes {
		c.cache.NoteAnnounced(change.ID, change.State, change.Tasks)
	}
	c.leaderRecovery.follow(update)
	c.cache.Readiness.NotePeerCount(update.KnownJobs, update.ComparingRecords)
	c.readiness.leaderHeard()
	if update.StoreAvailable {
		c.readiness.leaderServed()
	}
}

// answerLeaseGrantRequest answers a leader that can not reach the key-value store. The grant
// comes before the cancellations are collected: what this controller tells users afterwards
// is newer than the request.
func (c *Controller) answerLeaseGrantRequest(ctx context.Context, _ string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
	response := peer.LeaseGrantResponse{Granted: c.elector.GrantPeerLease(ctx, request.FencingToken)}
	if response.Granted && request.SeenRevision > 0 {
		response.Cancellations, response.CancellationsComplete = c.cache.CancellationsAfter(request.SeenRevision)
	}
	return response
}

// requestLeaseGrants asks all other controllers for lease grants and tells whether all are given.
// The leader's observed state of the jobs counts as renewed only if every controller, this
// one too, has said which cancellations it has told users of and the leader has not seen:
// that none reaches the store now says nothing of what was told before.
func (c *Controller) requestLeaseGrants(ctx context.Context, fencingToken uint64) bool {
	askedAt, seenRevision := time.Now(), c.leaderHandle.SeenRevision()
	joined := c.peers.RequestLeaseGrants(ctx, peer.LeaseGrantRequest{FencingToken: fencingToken, SeenRevision: seenRevision})
	own, complete := c.cache.CancellationsAfter(seenRevision)
	if joined.Granted && joined.CancellationsComplete && complete && seenRevision > 0 {
		c.leaderHandle.ApplyPeerCancellations(ctx, append(joined.Cancellations, own...), askedAt)
	}
	return joined.Granted
}
