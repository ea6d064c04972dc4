package jobapi

import (
	"context"
	"errors"
	"net/http"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
)

// showJob responds to a poll from the cache.
func (a *API) showJob(ctx context.Context, id string) *response {
	rec, known, err := a.Cache.Get(ctx, id)
	switch {
	case errors.Is(err, jobcache.ErrRecordsMayBeMissing):
		return a.showUnknownJob(id)
	case err != nil:
		return unavailableResponse(storeUnavailableText)
	case !known:
		return notFoundResponse()
	case a.mayBeFinished(id, &rec):
		return unavailableResponse(notCurrentText)
	}
	return detailsResponse(id, a.displayState(id, &rec), a.displayCounts(id, &rec))
}

// detailsResponse returns a response with a job's state and task counts.
func detailsResponse(id, state string, counts jobs.TaskCounts) *response {
	return &response{status: http.StatusOK, body: jobView{ID: id, State: state, Done: &counts.Done, Running: &counts.Running}}
}

// displayCounts returns the task counts that are shown to users. They are 0 if this controller does
// not know them.
func (a *API) displayCounts(id string, rec *jobs.Record) (counts jobs.TaskCounts) {
	if rec.State == jobs.Done {
		counts.Done = rec.Tasks
	} else if a.Counts != nil && !rec.Finished() {
		counts, _ = a.Counts(id)
	}
	return counts
}

// showUnknownJob responds to a poll for an unknown job while records may be missing. The leader may
// know a job without a record from its running tasks.
func (a *API) showUnknownJob(id string) *response {
	if counts, running := a.runningCounts(id); running {
		return detailsResponse(id, jobs.Running, counts)
	}
	return unavailableResponse(recordsMissingText)
}
