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

// campaign takes part in leader elections until the context ends. It runs the leader while this
// controller is elected.
func (c *Controller) campaign(ctx context.Context) {
	deps := leader.Deps{
		Settings: c.settings, Derived: c.derived, ControllerName: c.settings.ControllerName,
		Store: c.store, Cloud: c.cloud, Workers: c.workers, Cache: c.cache, Counts: c.jobCounts, MachineTypes: c.machineTypes.types,
		IsLeader: c.elector.IsLeader, PeerLeasesRequestedAt: c.elector.PeerLeasesRequestedAt, TokenRaised: c.elector.ObserveRaisedToken,
		Peers: c.peers, Broadcast: c.broadcastUpdate,
	}
	c.elector.Run(ctx, func(ctx context.Context, term election.Term) {
		c.store.SetRateLimits(storeRateLimits(c.settings, true))
		defer c.store.SetRateLimits(storeRateLimits(c.settings, false))
		c.leaderHandle.Lead(ctx, deps, term)
	})
}

// storeRateLimits returns the rate limits of this controller's requests to the key-value store.
// The limits of all controllers add up to at most the rates that the store accepts.
func storeRateLimits(config *settings.Settings, leading bool) kvstore.RateLimits {
	total := config.Deployment.Store.Effective()
	limits := kvstore.RateLimits{RequestsPerSecond: settings.LeaderRequestShare * total.RPS, WritesPerSecond: settings.LeaderWriteShare * total.WriteRPS}
	if followers := float64(config.Deployment.ControllerCount - 1); !leading && followers > 0 {
		limits.RequestsPerSecond = (1 - settings.LeaderRequestShare) * total.RPS / followers
		limits.WritesPerSecond = (1 - settings.LeaderWriteShare) * total.WriteRPS / followers
	}
	return limits
}

// otherLeader returns the name of the leader. It returns an empty string if no leader is known
// or if this controller is the leader.
func (c *Controller) otherLeader() string {
	if name := c.elector.Leader(); name != c.settings.ControllerName {
		return name
	}
	return ""
}

// handleElectionKeyLoss handles evidence that the store has lost keys of the election.
func (c *Controller) handleElectionKeyLoss(loss detection.Evidence) {
	// Suspect a loss before the term ends, because the leader's knowledge of it ends with the term.
	c.cache.Readiness.SuspectLossUntil(time.Now().Add(c.derived.Workers.CancelDeadline))
	c.lossReporter.enqueue(loss)
}

// handleLossNotice passes another controller's evidence of lost records to the leader. It drops
// the evidence if this controller does not lead. Only evidence that affects the assignment log
// keeps its kind.
func (c *Controller) handleLossNotice(_ string, loss detection.Evidence) {
	if !loss.Kind.AffectsAssignmentLog() {
		loss.Kind = detection.ReportedByPeer
	}
	c.leaderHandle.ReportLoss(loss)
}

// broadcastUpdate sends the leader's update to the other controllers. It is called by the leader.
func (c *Controller) broadcastUpdate(counts map[string]jobs.TaskCounts, changes []peer.JobChange) {
	c.readiness.noteLeaderHeard()
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

// applyLeaderUpdate applies a leader's update. It ignores the update while this controller leads:
// the sender is a former leader that has not noticed yet that it was replaced.
func (c *Controller) applyLeaderUpdate(_ string, update peer.LeaderUpdate) {
	if c.elector.IsLeader() {
		return
	}
	c.jobCounts.Replace(update.JobCounts)
	for _, change := range update.Changes {
		c.cache.NoteAnnounced(change.ID, change.State, change.Tasks)
	}
	c.recoveryFollower.applyUpdate(update)
	c.cache.Readiness.NotePeerJobCount(update.KnownJobs, update.ComparingRecords)
	c.readiness.noteLeaderHeard()
	if update.StoreAvailable {
		c.readiness.noteLeaderReachedStore()
	}
}

// handleLeaseGrantRequest responds to a leader that cannot reach the key-value store. It grants
// the lease before it collects the cancellations, so that every cancellation that it reports to
// a user afterwards is newer than the request.
func (c *Controller) handleLeaseGrantRequest(ctx context.Context, _ string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
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
	combined := c.peers.RequestLeaseGrants(ctx, peer.LeaseGrantRequest{FencingToken: fencingToken, SeenRevision: seenRevision})
	ownCancellations, ownComplete := c.cache.CancellationsAfter(seenRevision)
	if combined.Granted && combined.CancellationsComplete && ownComplete && seenRevision > 0 {
		c.leaderHandle.ApplyPeerCancellations(ctx, append(combined.Cancellations, ownCancellations...), askedAt)
	}
	return combined.Granted
}
