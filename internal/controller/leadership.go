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

// campaign takes part in leader elections until the context ends, and runs the leader while elected.
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

// storeBudget returns the rate limits of this controller's requests to the key-value store. The
// limits of all controllers add up to at most the rates that the store accepts.
func storeBudget(set *settings.Settings, leading bool) kvstore.RateLimits {
	all := set.Deployment.Store.Effective()
	budget := kvstore.RateLimits{RequestsPerSecond: settings.LeaderRequestShare * all.RPS, WritesPerSecond: settings.LeaderWriteShare * all.WriteRPS}
	if others := float64(set.Deployment.Nodes - 1); !leading && others > 0 {
		budget.RequestsPerSecond = (1 - settings.LeaderRequestShare) * all.RPS / others
		budget.WritesPerSecond = (1 - settings.LeaderWriteShare) * all.WriteRPS / others
	}
	return budget
}

// otherLeader returns the name of the leader. It returns an empty string if no leader is known
// or if this controller is the leader.
func (c *Controller) otherLeader() string {
	if name := c.elector.Leader(); name != c.settings.Node {
		return name
	}
	return ""
}

// leadershipKeyLost handles evidence that the store has lost keys of the election.
func (c *Controller) leadershipKeyLost(loss detection.Evidence) {
	// Suspect a loss before the term ends, because the leader's knowledge of it ends with the term.
	c.cache.Readiness.SuspectLossUntil(time.Now().Add(c.derived.Workers.CancelDeadline))
	c.losses.notice(loss)
}

// receiveLossNotice passes another controller's evidence of lost records to the leader. It drops
// the evidence if this controller does not lead. Only evidence that affects the assignment log
// keeps its kind.
func (c *Controller) receiveLossNotice(_ string, loss detection.Evidence) {
	if !loss.Kind.AffectsLog() {
		loss.Kind = detection.ReportedByPeer
	}
	c.leaderHandle.ReportLoss(loss)
}

// broadcastUpdate sends the leader's update to the other controllers. It is called by the leader.
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

// followLeader applies a leader's update. It ignores the update while this controller leads: the
// sender is a former leader that has not noticed yet that it was replaced.
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

// answerLeaseGrantRequest responds to a leader that cannot reach the key-value store. It grants
// the lease before it collects the cancellations, so that every cancellation that it reports to
// a user afterwards is newer than the request.
func (c *Controller) answerLeaseGrantRequest(ctx context.Context, _ string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
	response := peer.LeaseGrantResponse{Granted: c.elector.GrantPeerLease(ctx, request.FencingToken)}
	if response.Granted && request.SeenRevision > 0 {
		response.Cancellations, response.CancellationsComplete = c.cache.CancellationsAfter(request.SeenRevision)
	}
	return response
}

// requestLeaseGrants asks all other controllers for lease grants and reports whether all of them
// granted one. The leader's view of the job records counts as refreshed only if every controller,
// including this one, has listed the cancellations that it reported to users and that the leader
// has not seen. A controller that cannot reach the store now may still have reported
// cancellations before.
func (c *Controller) requestLeaseGrants(ctx context.Context, fencingToken uint64) bool {
	askedAt, seenRevision := time.Now(), c.leaderHandle.SeenRevision()
	joined := c.peers.RequestLeaseGrants(ctx, peer.LeaseGrantRequest{FencingToken: fencingToken, SeenRevision: seenRevision})
	own, complete := c.cache.CancellationsAfter(seenRevision)
	if joined.Granted && joined.CancellationsComplete && complete && seenRevision > 0 {
		c.leaderHandle.ApplyPeerCancellations(ctx, append(joined.Cancellations, own...), askedAt)
	}
	return joined.Granted
}
