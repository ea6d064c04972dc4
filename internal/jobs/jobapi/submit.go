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

// maxBody is how many bytes a submission may have.
const maxBody = 64 << 10

// submitJob accepts a job. A submission is idempotent: one of a job that is known already is
// answered with its state, whatever a new one would be answered with.
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

// readSpec reads a submission. Without a specification, it returns the answer.
func readSpec(w http.ResponseWriter, r *http.Request) (*jobs.Spec, *answer) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refused(http.StatusBadRequest, "body over 64 KiB")
	case err != nil:
		return nil, nil // the user is gone
	}
	spec, err := jobs.ParseSpec(raw)
	if err != nil {
		return nil, refused(http.StatusBadRequest, err.Error())
	}
	return spec, nil
}

// checkNew returns what the submission is answered with if the job is a new one that can not be
// accepted; nil if it can be.
func (a *API) checkNew(spec *jobs.Spec, types []jobs.MachineType) *answer {
	if why := jobs.CheckRunnable(spec, types, a.Settings); why != nil {
		return refused(http.StatusUnprocessableEntity, why.Error())
	}
	if !a.Room() {
		return unavailable(memoryShortText)
	}
	if _, known := a.Cache.Known(spec.ID); !known && !a.Cache.Readiness.ProvenCurrent() {
		// It may have been accepted, and be finished, before this controller began.
		return unavailable(notCurrentText)
	}
	return nil
}

// answerIfKnown answers a submission of a known job with its state, as a job accepted under an
// earlier catalog or team stays accepted. That of a new one gets the other answer.
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

// encodeNew returns the record of a new job, if it fits into a value of the key-value store.
func (a *API) encodeNew(spec *jobs.Spec, types []jobs.MachineType) (value []byte, ok bool) {
	rec := jobs.Record{State: jobs.Queued, Tasks: spec.Tasks, Spec: spec, AcceptedAtMs: time.Now().UnixMilli()}
	value, err := json.Marshal(rec)
	if err == nil && len(value) > a.Derived.Store.ValueBytes {
		spec.KeepOnlyTypes(types)
		value, err = json.Marshal(rec)
	}
	return value, err == nil && len(value) <= a.Derived.Store.ValueBytes
}

// accept writes the record of a new job, once. Without an answer it has to be tried again.
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
	// Should the key-value store lose the record, nobody else may know of it.
	a.Cache.ApplyAnswer(request, kvstore.KeyValue{Key: jobs.RecordKey(spec.ID), Value: value, Revision: revision})
	slog.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	return &answer{status: http.StatusCreated, body: jobView{ID: spec.ID, State: jobs.Queued}}, nil
}

// answerRepeated answers the submission of a job that is known already. Where its description
// was lost, this brings it back. Without an answer the submission has to be tried again.
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
			slog.Info("description of a lost job submitted again", "job", spec.ID, "held", !known.Held.OnlySpecMissing)
		}
	}
	return found(spec.ID, a.shownState(spec.ID, known)), nil
}
