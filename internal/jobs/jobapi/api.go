package jobapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson"
)

// attemptsPerRequestTimeout is the number of attempts of one request within the request timeout
// of the key-value store.
const attemptsPerRequestTimeout = 20

// API serves users' requests. Its fields must be set before Register is called. Its function
// fields may be called by several goroutines concurrently.
type API struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *kvstore.Client
	Cache    *jobcache.Cache
	// Catalog returns the machine types, or nil while they are not known.
	Catalog func() []jobs.MachineType
	// Counts returns a job's task counts for display, and whether this controller knows them.
	Counts func(id string) (jobs.TaskCounts, bool)
	// Ready reports whether this controller should receive users' requests.
	Ready func() bool
	// HasMemory reports whether there is enough memory for more jobs.
	HasMemory func() bool

	slots chan struct{} // one per request in progress
}

// Register adds the handlers of the API to mux. A request that finds no free slot is rejected at
// once: queueing in front of a slow key-value store would only make users repeat their requests.
func (a *API) Register(mux *http.ServeMux) {
	a.slots = make(chan struct{}, a.Derived.API.MaxConcurrentRequests)
	mux.HandleFunc("POST /v1/jobs", a.withSlot(a.receiveSubmission))
	mux.HandleFunc("GET /v1/jobs/{id}", a.withSlot(a.withJobID(a.showJob)))
	mux.HandleFunc("POST /v1/jobs/{id}/withdraw", a.withSlot(a.withJobID(a.cancelJob)))
	mux.HandleFunc("GET /up", a.showReadiness)
}

// handler serves a request and returns the response, which must not be nil. It uses the writer only to
// limit the size of the request's body.
type handler func(http.ResponseWriter, *http.Request) *response

// withSlot wraps a handler with a slot, and writes its response.
func (a *API) withSlot(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			a.writeResponse(w, unavailableResponse(tooManyRequestsText))
			return
		}
		a.writeResponse(w, next(w, r))
	}
}

// withTimeout returns a context for the work on a request that has arrived whole.
func (a *API) withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), a.Derived.API.RequestTimeout)
}

// withJobID returns a handler of requests that have a job ID in their path, and no body.
func (a *API) withJobID(next func(ctx context.Context, id string) *response) handler {
	return func(_ http.ResponseWriter, r *http.Request) *response {
		id := r.PathValue("id")
		if !jobs.ValidID(id) {
			return notFoundResponse()
		}
		ctx, cancel := a.withTimeout(r)
		defer cancel()
		return next(ctx, id)
	}
}

func (a *API) showReadiness(w http.ResponseWriter, _ *http.Request) {
	if a.Ready() {
		w.WriteHeader(http.StatusOK)
	} else {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readRecord reads a job's record and its revision from the key-value store. It returns nil if
// the job has no record. If the store has lost the record, or the record is behind what this
// controller knows, the result has the state known to this controller.
func (a *API) readRecord(ctx context.Context, id string) (*jobs.Record, uint64, error) {
	baseline := a.Cache.RequestBaseline()
	pair, found, err := a.Store.Get(ctx, jobs.RecordKey(id))
	if err != nil {
		return nil, 0, err
	}
	if !found {
		if known, ok := a.Cache.MarkMissing(id); ok {
			return &known, 0, nil
		}
		return nil, 0, nil
	}
	var rec jobs.Record
	if err := wirejson.Unmarshal(pair.Value, &rec); err != nil {
		return nil, 0, err
	}
	a.Cache.ApplyResponse(baseline, pair) // before the user gets a response
	if known, _ := a.Cache.Known(id); known.Finished() {
		rec.State = known.State
	}
	return &rec, pair.Revision, nil
}

// replaceRecord writes a job's record if its revision is still the one given; 0 means that there
// is no record. It returns the new revision and whether the record was written.
func (a *API) replaceRecord(ctx context.Context, id string, revision uint64, value []byte) (newRevision uint64, ok bool, err error) {
	key := jobs.RecordKey(id)
	newRevision, failed, err := a.Store.Commit(ctx, []kvstore.Guard{{Key: key, Revision: revision}}, []kvstore.Write{{Set: key, Value: value}})
	return newRevision, err == nil && len(failed) == 0, err
}

// displayState returns the state that is shown to users. A record does not say whether tasks are
// running; the task counts do.
func (a *API) displayState(id string, rec *jobs.Record) string {
	if !rec.Finished() {
		if _, running := a.runningCounts(id); running {
			return jobs.Running
		}
	}
	return rec.State
}

// runningCounts returns a job's task counts and whether this controller knows that some of its
// tasks are running.
func (a *API) runningCounts(id string) (counts jobs.TaskCounts, running bool) {
	if a.Counts == nil {
		return jobs.TaskCounts{}, false
	}
	counts, known := a.Counts(id)
	return counts, known && counts.Running > 0
}

// mayBeFinished reports whether a job that this controller knows as unfinished may in fact be
// finished. Its record may be behind what users were told, or it may have been lost right after a
// change that this controller has not seen.
func (a *API) mayBeFinished(id string, rec *jobs.Record) bool {
	return !rec.Finished() && (!a.Cache.Readiness.ProvenCurrent() || a.Cache.IsLost(id) && a.Cache.Readiness.LossSuspected())
}

// retry calls try until it returns a response, the key-value store refuses the request or time
// runs out. Repeating a write whose outcome is unknown is safe: if it was applied, the next
// attempt reads the record that it wrote. An attempt that returns no response has failed.
func (a *API) retry(ctx context.Context, try func() (*response, error)) *response {
	for {
		resp, err := try()
		if resp != nil {
			return resp
		}
		if errors.Is(err, kvstore.ErrNotExecuted) || ctx.Err() != nil {
			return unavailableResponse(storeUnavailableText)
		}
		select {
		case <-ctx.Done():
		case <-time.After(a.Derived.Store.RequestTimeout / attemptsPerRequestTimeout):
		}
	}
}
