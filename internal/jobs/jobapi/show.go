package jobapi

import (
	"context"
	"errors"
	"net/http"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
)

// showJob answers a poll from the cache.
func (a *API) showJob(ctx context.Context, _ http.ResponseWriter, r *http.Request) *answer {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		return noSuchJob()
	}
	rec, known, err := a.Cache.Get(ctx, id)
	switch {
	case errors.Is(err, jobcache.ErrRecordsMayBeMissing):
		return a.showUnknown(id)
	case err != nil:
		return unavailable(storeUnavailableText)
	case !known:
		return noSuchJob()
	case a.mayBeFinished(id, &rec):
		return unavailable(notCurrentText)
	}
	return shown(id, a.shownState(id, &rec), a.shownCounts(id, &rec))
}

// shown returns a response with a job's state and task counts.
func shown(id, state string, counts jobs.Counts) *answer {
	return &answer{status: http.StatusOK, body: jobView{ID: id, State: state, Done: &counts.Done, Running: &counts.Running}}
}

// shownCounts returns the task counts that users are shown. They are 0 if this controller does
// not know them.
func (a *API) shownCounts(id string, rec *jobs.Record) (counts jobs.Counts) {
	if rec.State == jobs.Done {
		counts.Done = rec.Tasks
	} else if a.Counts != nil && !rec.Finished() {
		counts, _ = a.Counts(id)
	}
	return counts
}

// showUnknown answers a poll for an unknown job while records may be missing. The leader may know
// a job without a record from its running tasks.
func (a *API) showUnknown(id string) *answer {
	if counts, running := a.runningCounts(id); running {
		return shown(id, jobs.Running, counts)
	}
	return unavailable(recordsMissingText)
}
