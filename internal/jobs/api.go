package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

const maxBody = 64 << 10

// API answers users.
type API struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *kvstore.Client
	Cache    *Cache
	// Catalog returns the machine types, or nil while they are not known.
	Catalog func() []MachineType
	// Counts returns a job's counts for display, where this node knows them.
	Counts func(id string) (Counts, bool)
	// Ready tells whether users should come to this node.
	Ready func() bool
	// Room tells whether there is memory for more jobs.
	Room func() bool

	slots chan struct{}
}

// Register adds the users' paths. Every request takes a slot or is refused at
// once: a queue in front of the state service would only make users ask twice.
func (a *API) Register(mux *http.ServeMux) {
	a.slots = make(chan struct{}, a.Derived.API.QueueLength)
	mux.HandleFunc("POST /v1/jobs", a.limited(a.submit))
	mux.HandleFunc("GET /v1/jobs/{id}", a.limited(a.show))
	mux.HandleFunc("POST /v1/jobs/{id}/withdraw", a.limited(a.withdraw))
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, _ *http.Request) {
		if a.Ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (a *API) limited(next func(context.Context, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			a.later(w, "too many requests at this node")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.Derived.API.RequestTimeout)
		defer cancel()
		next(ctx, w, r)
	}
}

type view struct {
	ID      string `json:"id"`
	State   string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func refuse(w http.ResponseWriter, status int, why string) {
	reply(w, status, map[string]string{"error": why})
}

// later refuses at once and says when a try is worth while: after the time in
// which the term or a busy state service may have settled.
func (a *API) later(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(a.Derived.Election.LeaseDuration.Seconds()/2)))))
	refuse(w, http.StatusServiceUnavailable, why)
}

// read reads a job's record, and its revision. Where the state service has lost it, or
// says less than this node knows, what is known takes its place.
func (a *API) read(ctx context.Context, id string) (*Record, uint64, error) {
	asked := a.Cache.Ask()
	p, found, err := a.Store.Get(ctx, RecordKey(id))
	if err != nil {
		return nil, 0, err
	}
	if !found {
		if known, ok := a.Cache.Missing(id); ok {
			return &known, 0, nil
		}
		return nil, 0, nil
	}
	var rec Record
	if err := jsonv2.Unmarshal(p.Value, &rec); err != nil {
		return nil, 0, err
	}
	a.Cache.Take(asked, p) // before anybody is told
	if known, _ := a.Cache.Known(id); known.Over() {
		rec.State = known.State
	}
	return &rec, p.Revision, nil
}

func (a *API) shownState(id string, rec *Record) string {
	if !rec.Over() && a.Counts != nil {
		if c, ok := a.Counts(id); ok && c.Running > 0 {
			return Running
		}
	}
	return rec.State
}

func (a *API) submit(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusBadRequest, "body over 64 KiB")
		return
	case err != nil:
		return // the user is gone
	}
	spec, err := ParseSpec(raw)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	types := a.Catalog()
	if types == nil {
		a.later(w, "machine types are not known yet")
		return
	}
	if why := CanEverRun(spec, types, a.Settings); why != nil {
		// A job accepted under an earlier catalog or team stays accepted.
		a.ifNew(ctx, w, spec.ID, func() { refuse(w, http.StatusUnprocessableEntity, why.Error()) })
		return
	}
	if !a.Room() {
		a.ifNew(ctx, w, spec.ID, func() { a.later(w, "memory is short at this node") })
		return
	}
	if _, known := a.Cache.Known(spec.ID); !known && !a.Cache.Settled() {
		// It may have been accepted, and be over, before this node began.
		a.ifNew(ctx, w, spec.ID, func() { a.later(w, unsettledText) })
		return
	}
	rec := Record{State: Queued, Tasks: spec.Tasks, Spec: spec, AtMs: time.Now().UnixMilli()}
	value, err := json.Marshal(rec)
	if err == nil && len(value) > a.Derived.Store.ValueBytes {
		spec.onlyTypes(types)
		value, err = json.Marshal(rec)
	}
	if err != nil || len(value) > a.Derived.Store.ValueBytes {
		refuse(w, http.StatusBadRequest, "job too large")
		return
	}
	a.retry(ctx, w, func() (bool, error) {
		if _, known := a.Cache.Known(spec.ID); !known {
			asked := a.Cache.Ask()
			rev, failed, err := a.Store.Commit(ctx, []kvstore.Guard{{Key: RecordKey(spec.ID)}},
				[]kvstore.Write{{Set: RecordKey(spec.ID), Value: value}})
			if err != nil {
				return false, err
			}
			if len(failed) == 0 {
				// Should the state service lose the record, nobody else may know of it.
				a.Cache.Take(asked, kvstore.Pair{Key: RecordKey(spec.ID), Value: value, Revision: rev})
				slog.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
				reply(w, http.StatusCreated, view{ID: spec.ID, State: Queued})
				return true, nil
			}
		}
		return a.submittedAgain(ctx, w, spec)
	})
}

// submittedAgain answers the submission of a job that is known already. Where its
// description was lost, this brings it back.
func (a *API) submittedAgain(ctx context.Context, w http.ResponseWriter, spec *Spec) (answered bool, err error) {
	known, revision, err := a.read(ctx, spec.ID)
	if err != nil || known == nil {
		return false, err
	}
	if a.unsettled(spec.ID, known) {
		a.later(w, unsettledText)
		return true, nil
	}
	if known.Held != nil && known.Held.Spec == nil {
		value := known.described(spec)
		if len(value) <= a.Derived.Store.ValueBytes {
			_, failed, err := a.Store.Commit(ctx, []kvstore.Guard{{Key: RecordKey(spec.ID), Revision: revision}},
				[]kvstore.Write{{Set: RecordKey(spec.ID), Value: value}})
			if err != nil || len(failed) > 0 {
				return false, err
			}
			slog.Info("description of a lost job submitted again", "job", spec.ID, "held", !known.Held.Complete)
		}
	}
	reply(w, http.StatusOK, view{ID: spec.ID, State: a.shownState(spec.ID, known)})
	return true, nil
}

// unsettledText is told by a node that has just begun.
const unsettledText = "this node has just begun and does not know yet whether records are missing"

// unsettled tells whether a job that is unfinished, as far as this node knows, may be over: its
// record may say less than users were told, or is lost, and was changed just before.
func (a *API) unsettled(id string, rec *Record) bool {
	return !rec.Over() && (!a.Cache.Settled() || a.Cache.IsLost(id) && a.Cache.Suspected())
}

// ifNew answers a submission of a known job with its state; what is done about a new one
// is for the caller.
func (a *API) ifNew(ctx context.Context, w http.ResponseWriter, id string, refuse func()) {
	rec, _, err := a.read(ctx, id)
	switch {
	case err != nil:
		a.later(w, "state service does not answer")
	case rec != nil && a.unsettled(id, rec):
		a.later(w, unsettledText)
	case rec != nil:
		reply(w, http.StatusOK, view{ID: id, State: a.shownState(id, rec)})
	case !a.Cache.NeverAccepted(id):
		a.later(w, "records may be missing")
	default:
		refuse()
	}
}

// retry tries again while there is time: a write whose outcome is unknown
// meets its own record on the next try, so that trying again reads it back.
func (a *API) retry(ctx context.Context, w http.ResponseWriter, try func() (bool, error)) {
	for {
		answered, err := try()
		if answered {
			return
		}
		if errors.Is(err, kvstore.ErrRefused) || ctx.Err() != nil {
			a.later(w, "state service does not answer")
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(a.Derived.Store.RequestTimeout / 20):
		}
	}
}

func (a *API) show(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !ValidID(id) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	rec, found, err := a.Cache.Get(ctx, id)
	switch {
	case errors.Is(err, ErrUncertain):
		a.showUncertain(w, id)
	case err != nil:
		a.later(w, "state service does not answer")
	case !found:
		refuse(w, http.StatusNotFound, "no such job")
	case a.unsettled(id, &rec):
		a.later(w, unsettledText)
	default:
		var c Counts
		if rec.State == Done {
			c.Done = rec.Tasks
		} else if a.Counts != nil && !rec.Over() {
			c, _ = a.Counts(id)
		}
		reply(w, http.StatusOK, view{ID: id, State: a.shownState(id, &rec), Done: &c.Done, Running: &c.Running})
	}
}

// showUncertain answers a poll for a job that is not known, while records may be missing.
// Of a job without a record the leader may know by its tasks.
func (a *API) showUncertain(w http.ResponseWriter, id string) {
	if a.Counts != nil {
		if c, ok := a.Counts(id); ok && c.Running > 0 {
			reply(w, http.StatusOK, view{ID: id, State: Running, Done: &c.Done, Running: &c.Running})
			return
		}
	}
	a.later(w, "records may be missing")
}

func (a *API) withdraw(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !ValidID(id) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	a.retry(ctx, w, func() (bool, error) {
		rec, revision, err := a.read(ctx, id)
		switch {
		case err != nil:
			return false, err
		case rec == nil && !a.Cache.NeverAccepted(id):
			a.later(w, "records may be missing")
			return true, nil
		case rec == nil:
			refuse(w, http.StatusNotFound, "no such job")
			return true, nil
		case rec.Over():
			reply(w, http.StatusOK, view{ID: id, State: rec.State})
			return true, nil
		case a.unsettled(id, rec):
			a.later(w, unsettledText)
			return true, nil
		}
		ended := rec.Ended(Cancelled, a.Derived.Store.ValueBytes)
		asked := a.Cache.Ask()
		rev, failed, err := a.Store.Commit(ctx, []kvstore.Guard{{Key: RecordKey(id), Revision: revision}},
			[]kvstore.Write{{Set: RecordKey(id), Value: ended}})
		if err != nil || len(failed) > 0 {
			return false, err
		}
		a.Cache.Take(asked, kvstore.Pair{Key: RecordKey(id), Value: ended, Revision: rev})
		slog.Debug("job cancelled", "job", id)
		reply(w, http.StatusOK, view{ID: id, State: Cancelled})
		return true, nil
	})
}
