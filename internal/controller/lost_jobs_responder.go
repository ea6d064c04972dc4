package controller

import (
	"sync"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// maxLostJobsPerResponse is how many lost jobs are in one response to the leader.
const maxLostJobsPerResponse = 500

// lostJobsResponder responds to other controllers that ask for jobs of which this one knows
// more than the records say.
type lostJobsResponder struct {
	derived settings.Derived
	cache   *jobcache.Cache
	elector *election.Elector

	mu           sync.Mutex
	round        uint64 // of the leader's comparison, the last that was asked about
	verification uint64 // of this controller's records in that round, as the cache counts them
}

func newLostJobsResponder(derived settings.Derived, cache *jobcache.Cache, elector *election.Elector) *lostJobsResponder {
	return &lostJobsResponder{derived: derived, cache: cache, elector: elector}
}

// respond responds to a request. It never blocks: a comparison that is not finished is
// answered with a response that says so, and whoever asked asks again.
func (r *lostJobsResponder) respond(request peer.LostJobsRequest) peer.LostJobsResponse {
	if request.ComparisonRound == 0 {
		return r.summary()
	}
	if !r.cache.AuditDone(r.verificationIn(request.ComparisonRound)) {
		return peer.LostJobsResponse{}
	}
	lost, more := r.cache.LostPage(request.AfterID, maxLostJobsPerResponse)
	response := peer.LostJobsResponse{Compared: true, More: more}
	for _, job := range lost {
		response.Jobs = append(response.Jobs, peer.LostJob{ID: job.ID, State: job.State, Tasks: job.Tasks, Record: r.cache.UnfinishedRecord(job.ID)})
	}
	return response
}

// summary tells how much this controller knows. Whoever asks compares with that: it has to be
// in the records still, which was checked only if Compared is set.
func (r *lostJobsResponder) summary() peer.LostJobsResponse {
	checkedLately := time.Since(r.cache.RollbackCheckedAt()) < r.derived.Election.RenewInterval
	if !checkedLately {
		r.cache.RequestRollbackCheck()
	}
	return peer.LostJobsResponse{
		Compared:        checkedLately,
		KnownJobs:       r.cache.JobCount(),
		NewestRevision:  r.cache.NewestRevision(),
		LossNoticed:     r.cache.Readiness.LossSuspected() || r.cache.LostCount() > 0,
		ReliesOnNoGrant: r.elector.ReliesOnNoGrant(),
	}
}

// verificationIn returns the verification of all records that belongs to a round, and begins
// it in a new one.
func (r *lostJobsResponder) verificationIn(round uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.round != round {
		r.round, r.verification = round, r.cache.RequestAudit()
	}
	return r.verification
}
