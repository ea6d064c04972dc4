package controller

import (
	"sync"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// maxLostJobsPerResponse is the maximum number of lost jobs in one response to the leader.
const maxLostJobsPerResponse = 500

// lostJobsResponder responds to requests of other controllers for lost jobs: jobs of which this
// controller knows more than their records say.
type lostJobsResponder struct {
	derived settings.Derived
	cache   *jobcache.Cache
	elector *election.Elector

	mu              sync.Mutex
	comparisonRound uint64 // the leader's comparison round of the newest request
	auditTicket     uint64 // ticket of the cache's audit for that round
}

func newLostJobsResponder(derived settings.Derived, cache *jobcache.Cache, elector *election.Elector) *lostJobsResponder {
	return &lostJobsResponder{derived: derived, cache: cache, elector: elector}
}

// respond responds to a request. It never blocks: until the comparison is complete, the response
// has Compared unset and the requester has to ask again.
func (r *lostJobsResponder) respond(request peer.LostJobsRequest) peer.LostJobsResponse {
	if request.ComparisonRound == 0 {
		return r.summary()
	}
	if !r.cache.AuditDone(r.auditTicketFor(request.ComparisonRound)) {
		return peer.LostJobsResponse{}
	}
	lost, more := r.cache.LostPage(request.AfterID, maxLostJobsPerResponse)
	response := peer.LostJobsResponse{Compared: true, More: more}
	for _, job := range lost {
		response.Jobs = append(response.Jobs, peer.LostJob{ID: job.ID, State: job.State, Tasks: job.Tasks, Record: r.cache.UnfinishedRecord(job.ID)})
	}
	return response
}

// summary returns how much this controller knows. The requester relies on the records still
// holding the changes that this controller knows. Compared is set only if that was checked within
// the last renewal interval; otherwise summary requests a check.
func (r *lostJobsResponder) summary() peer.LostJobsResponse {
	recentlyChecked := time.Since(r.cache.RollbackCheckedAt()) < r.derived.Election.RenewInterval
	if !recentlyChecked {
		r.cache.RequestRollbackCheck()
	}
	return peer.LostJobsResponse{
		Compared:        recentlyChecked,
		KnownJobs:       r.cache.JobCount(),
		NewestRevision:  r.cache.NewestRevision(),
		LossNoticed:     r.cache.Readiness.LossSuspected() || r.cache.LostCount() > 0,
		ReliesOnNoGrant: r.elector.ReliesOnNoGrant(),
	}
}

// auditTicketFor returns the ticket of the audit of all records for a comparison round. It
// requests the audit if the round is new.
func (r *lostJobsResponder) auditTicketFor(round uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.comparisonRound != round {
		r.comparisonRound, r.auditTicket = round, r.cache.RequestAudit()
	}
	return r.auditTicket
}
