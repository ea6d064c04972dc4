package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// maxBody is the maximum size of a submission in bytes.
const maxBody = 64 << 10

// submitJob accepts a job. Submissions are idempotent: if the job is already known, the response
// is its state, even if a new job with the same description would be rejected.
func (a *API) submitJob(ctx context.Context, w http.ResponseWriter, r *http.Request) *answer {
	spec, refusal := readSpec(w, r)
	if spec == nil {
		return refusal
	}
	types := a.Catalog()
	if types == nil {
		return unavailable(noMachineTypesText)
	}
	if refusal := a.checkNew(spec, types); refusal != nil {
		return a.answerIfKnown(ctx, spec.ID, refusal)
	}
	value, ok := a.encodeNew(spec, types)
	if !ok {
		return refused(http.StatusBadRequest, "job too large")
	}
	return a.retry(ctx, func() (*answer, error) { return a.accept(ctx, spec, value) })
}

// readSpec reads and parses a submission. If it returns no spec, the answer is the response to
// the request, or nil if the client has disconnected.
func readSpec(w http.ResponseWriter, r *http.Request) (*jobs.Spec, *answer) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refused(http.StatusBadRequest, "body over 64 KiB")
	case err != nil:
		return nil, nil // the client has disconnected
	}
	spec, err := jobs.ParseSpec(raw)
	if err != nil {
		return nil, refused(http.StatusBadRequest, err.Error())
	}
	return spec, nil
}

// checkNew returns the response that rejects the submission if the job is new, or nil if it can
// be accepted.
func (a *API) checkNew(spec *jobs.Spec, types []jobs.MachineType) *answer {
	if why := jobs.CheckRunnable(spec, types, a.Settings); why != nil {
		return refused(http.StatusUnprocessableEntity, why.Error())
	}
	if !a.Room() {
		return unavailable(memoryShortText)
	}
	if _, known := a.Cache.Known(spec.ID); !known && !a.Cache.Readiness.ProvenCurrent() {
		// The job may have been accepted and finished before this controller started.
		return unavailable(notCurrentText)
	}
	return nil
}

// answerIfKnown answers a submission that is rejected if the job is new. If the job is known, the
// response is its state, because a job accepted under an earlier catalog or team settings stays
// accepted. Otherwise the response is ifNew.
func (a *API) answerIfKnown(ctx context.Context, id string, ifNew *answer) *answer {
	rec, _, err := a.readRecord(ctx, id)
	switch {
	case err != nil:
		return unavailable(storeUnavailableText)
	case rec != nil && a.mayBeFinished(id, rec):
		return unavailable(notCurrentText)
	case rec != nil:
		return found(id, a.shownState(id, rec))
	case !a.Cache.NeverAccepted(id):
		return unavailable(recordsMissingText)
	}
	return ifNew
}

// encodeNew returns the encoded record of a new job; ok is false if it does not fit into one
// value of the key-value store.
func (a *API) encodeNew(spec *jobs.Spec, types []jobs.MachineType) (value []byte, ok bool) {
	rec := jobs.Record{State: jobs.Queued, Tasks: spec.Tasks, Spec: spec, AcceptedAtMs: time.Now().UnixMilli()}
	value, err := json.Marshal(rec)
	if err == nil && len(value) > a.Derived.Store.ValueBytes {
		spec.KeepOnlyTypes(types)
		value, err = json.Marshal(rec)
	}
	return value, err == nil && len(value) <= a.Derived.Store.ValueBytes
}

// accept attempts once to write the record of a new job. If it returns no response, the caller
// must try again.
func (a *API) accept(ctx context.Context, spec *jobs.Spec, value []byte) (*answer, error) {
	if _, known := a.Cache.Known(spec.ID); known {
		return a.answerRepeated(ctx, spec)
	}
	request := a.Cache.BeginRequest()
	revision, ok, err := a.replaceRecord(ctx, spec.ID, 0, value)
	if err != nil {
		return nil, err
	}
	if !ok {
		return a.answerRepeated(ctx, spec)
	}
	// If the key-value store loses the record, this controller may be the only one that knows it.
	a.Cache.ApplyAnswer(request, kvstore.KeyValue{Key: jobs.RecordKey(spec.ID), Value: value, Revision: revision})
	slog.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	return &answer{status: http.StatusCreated, body: jobView{ID: spec.ID, State: jobs.Queued}}, nil
}

// answerRepeated answers a submission of a job that is already known. If the job's description
// was lost, the submission restores it. If answerRepeated returns no response, the caller must
// try again.
func (a *API) answerRepeated(ctx context.Context, spec *jobs.Spec) (*answer, error) {
	known, revision, err := a.readRecord(ctx, spec.ID)
	if err != nil || known == nil {
		return nil, err
	}
	if a.mayBeFinished(spec.ID, known) {
		return unavailable(notCurrentText), nil
	}
	if known.Held != nil && known.Held.Spec == nil {
		value := known.WithDescription(spec)
		if len(value) <= a.Derived.Store.ValueBytes {
			if _, ok, err := a.replaceRecord(ctx, spec.ID, revision, value); !ok {
				return nil, err
			}
			slog.Info("restored the description of a lost job from a repeated submission", "job", spec.ID, "held", !known.Held.OnlySpecMissing)
		}
	}
	return found(spec.ID, a.shownState(spec.ID, known)), nil
}
