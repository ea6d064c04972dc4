package jobapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

// retriesPerStoreWait is how often a request is tried again in the time that an answer of the
// key-value store may take.
const retriesPerStoreWait = 20

// API answers users. Its fields have to be set before Register; its functions may be called by
// several goroutines at a time.
type API struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *kvstore.Client
	Cache    *jobcache.Cache
	// Catalog returns the machine types, or nil while they are not known.
	Catalog func() []jobs.MachineType
	// Counts returns a job's counts for display, where this controller knows them.
	Counts func(id string) (jobs.Counts, bool)
	// Ready tells whether users should come to this controller.
	Ready func() bool
	// Room tells whether there is memory for more jobs.
	Room func() bool

	slots chan struct{} // one is taken by each request in progress
}

// Register adds the users' paths. Every request takes a slot or is refused at once: a queue in
// front of the key-value store would only make users ask twice.
func (a *API) Register(mux *http.ServeMux) {
	a.slots = make(chan struct{}, a.Derived.API.QueueLength)
	mux.HandleFunc("POST /v1/jobs", a.limited(a.submitJob))
	mux.HandleFunc("GET /v1/jobs/{id}", a.limited(a.showJob))
	mux.HandleFunc("POST /v1/jobs/{id}/withdraw", a.limited(a.withdrawJob))
	mux.HandleFunc("GET /up", a.showReadiness)
}

// handler answers a request. It needs the writer to bound the request's body only.
type handler func(context.Context, http.ResponseWriter, *http.Request) *answer

// limited gives a handler a slot and a deadline, and writes its answer.
func (a *API) limited(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			a.write(w, unavailable(tooManyRequestsText))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.Derived.API.RequestTimeout)
		defer cancel()
		if ans := next(ctx, w, r); ans != nil {
			a.write(w, ans)
		}
	}
}

func (a *API) showReadiness(w http.ResponseWriter, _ *http.Request) {
	if a.Ready() {
		w.WriteHeader(http.StatusOK)
	} else {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readRecord reads a job's record, and its revision; nil if there is none. Where the key-value
// store has lost it, or says less than this controller knows, what is known takes its place.
func (a *API) readRecord(ctx context.Context, id string) (*jobs.Record, uint64, error) {
	request := a.Cache.BeginRequest()
	pair, found, err := a.Store.Get(ctx, jobs.RecordKey(id))
	if err != nil {
		return nil, 0, err
	}
	if !found {
		if known, ok := a.Cache.NoteMissing(id); ok {
			return &known, 0, nil
		}
		return nil, 0, nil
	}
	var rec jobs.Record
	if err := jsonv2.Unmarshal(pair.Value, &rec); err != nil {
		return nil, 0, err
	}
	a.Cache.ApplyAnswer(request, pair) // before anybody is told
	if known, _ := a.Cache.Known(id); known.Finished() {
		rec.State = known.State
	}
	return &rec, pair.Revision, nil
}

// replaceRecord writes a job's record if it still is at a revision; 0 stands for no record. It
// returns the new revision, and whether the record was written.
func (a *API) replaceRecord(ctx context.Context, id string, revision uint64, value []byte) (written uint64, ok bool, err error) {
	key := jobs.RecordKey(id)
	written, failed, err := a.Store.Commit(ctx, []kvstore.Guard{{Key: key, Revision: revision}}, []kvstore.Write{{Set: key, Value: value}})
	return written, err == nil && len(failed) == 0, err
}

// shownState is the state that users are shown: the record does not tell whether tasks run.
func (a *API) shownState(id string, rec *jobs.Record) string {
	if !rec.Finished() {
		if _, running := a.runningCounts(id); running {
			return jobs.Running
		}
	}
	return rec.State
}

// runningCounts returns a job's counts, and whether this controller knows that tasks of it run.
func (a *API) runningCounts(id string) (counts jobs.Counts, running bool) {
	if a.Counts == nil {
		return jobs.Counts{}, false
	}
	counts, known := a.Counts(id)
	return counts, known && counts.Running > 0
}

// mayBeFinished tells whether a job that is unfinished, as far as this controller knows, may be
// finished: its record may say less than users were told, or is lost, and was changed just
// before.
func (a *API) mayBeFinished(id string, rec *jobs.Record) bool {
	return !rec.Finished() && (!a.Cache.Readiness.ProvenCurrent() || a.Cache.IsLost(id) && a.Cache.Readiness.LossSuspected())
}

// retry tries again while there is time: a write whose outcome is unknown meets its own record
// on the next try, so that trying again reads it back. A try without an answer has failed.
func (a *API) retry(ctx context.Context, try func() (*answer, error)) *answer {
	for {
		ans, err := try()
		if ans != nil {
			return ans
		}
		if errors.Is(err, kvstore.ErrNotExecuted) || ctx.Err() != nil {
			return unavailable(storeUnavailableText)
		}
		select {
		case <-ctx.Done():
		case <-time.After(a.Derived.Store.RequestTimeout / retriesPerStoreWait):
		}
	}
}
