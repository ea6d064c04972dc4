package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"ospreyslip/internal/httpbody"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// maxBodyBytes is the maximum size of a submission in bytes.
const maxBodyBytes = 64 << 10

// receiveSubmission reads a submission and handles it. The time for handling it begins when it has arrived.
func (a *API) receiveSubmission(w http.ResponseWriter, r *http.Request) *response {
	spec, refusal := readSpec(w, r)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := a.withTimeout(r)
	defer cancel()
	return a.submitJob(ctx, spec)
}

// submitJob accepts a job. Submissions are idempotent: if the job is already known, the response
// is its state, even if a new job with the same description would be rejected.
func (a *API) submitJob(ctx context.Context, spec *jobs.Spec) *response {
	value, refusal := a.newRecord(spec)
	if refusal != nil {
		return a.respondIfKnown(ctx, spec.ID, refusal)
	}
	return a.retry(ctx, func() (*response, error) { return a.createRecord(ctx, spec, value) })
}

// readSpec reads and parses a submission. If refusal is not nil, it is the response to the request.
func readSpec(w http.ResponseWriter, r *http.Request) (spec *jobs.Spec, refusal *response) {
	raw, err := io.ReadAll(httpbody.NewReader(w, r, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, rejectionResponse(http.StatusBadRequest, "body over 64 KiB")
	case err != nil:
		// The job may have been accepted before, so the user must repeat the request.
		return nil, rejectionResponse(httpbody.RejectionStatus(err), httpbody.ErrIncomplete.Error())
	}
	spec, err = jobs.ParseSpec(raw)
	if err != nil {
		return nil, rejectionResponse(http.StatusBadRequest, err.Error())
	}
	return spec, nil
}

// newRecord returns the encoded record of a job, or the response that rejects the submission if the job is new.
func (a *API) newRecord(spec *jobs.Spec) (value []byte, refusal *response) {
	types := a.Catalog()
	if types == nil {
		return nil, unavailableResponse(noMachineTypesText)
	}
	if err := jobs.CheckRunnable(spec, types, a.Settings); err != nil {
		return nil, rejectionResponse(http.StatusUnprocessableEntity, err.Error())
	}
	if !a.HasMemory() {
		return nil, unavailableResponse(memoryShortText)
	}
	if _, known := a.Cache.Known(spec.ID); !known && !a.Cache.Readiness.ProvenCurrent() {
		// The job may have been accepted and finished before this controller started.
		return nil, unavailableResponse(notCurrentText)
	}
	value, fits := a.encodeNewRecord(spec, types)
	if !fits {
		return nil, rejectionResponse(http.StatusBadRequest, jobTooLargeText)
	}
	return value, nil
}

// respondIfKnown responds to a submission that is rejected if the job is new. If the job is known,
// the response is its state, because a job accepted under an earlier catalog, or earlier settings or
// limits, stays accepted. Otherwise the response is the rejection.
func (a *API) respondIfKnown(ctx context.Context, id string, rejection *response) *response {
	rec, _, err := a.readRecord(ctx, id)
	switch {
	case err != nil:
		return unavailableResponse(storeUnavailableText)
	case rec != nil && a.mayBeFinished(id, rec):
		return unavailableResponse(notCurrentText)
	case rec != nil:
		return stateResponse(id, a.displayState(id, rec))
	case !a.Cache.NeverAccepted(id):
		return unavailableResponse(recordsMissingText)
	}
	return rejection
}

// encodeNewRecord returns the encoded record of a new job, and whether it fits into one value of the key-value
// store.
func (a *API) encodeNewRecord(spec *jobs.Spec, types []jobs.MachineType) (value []byte, fits bool) {
	rec := jobs.Record{State: jobs.Queued, Tasks: spec.Tasks, Spec: spec, AcceptedAtMs: time.Now().UnixMilli()}
	value, err := json.Marshal(rec)
	if err == nil && len(value) > a.Derived.Store.ValueBytes {
		spec.PruneTypes(types)
		value, err = json.Marshal(rec)
	}
	return value, err == nil && len(value) <= a.Derived.Store.ValueBytes
}

// createRecord attempts once to write the record of a new job. If it returns no response, the
// caller must try again.
func (a *API) createRecord(ctx context.Context, spec *jobs.Spec, value []byte) (*response, error) {
	if _, known := a.Cache.Known(spec.ID); known {
		return a.respondToRepeated(ctx, spec)
	}
	baseline := a.Cache.RequestBaseline()
	revision, ok, err := a.replaceRecord(ctx, spec.ID, 0, value)
	if err != nil {
		return nil, err
	}
	if !ok {
		return a.respondToRepeated(ctx, spec)
	}
	// If the key-value store loses the record, this controller may be the only one that knows it.
	a.Cache.ApplyResponse(baseline, kvstore.KeyValue{Key: jobs.RecordKey(spec.ID), Value: value, Revision: revision})
	slog.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	return &response{status: http.StatusCreated, body: jobView{ID: spec.ID, State: jobs.Queued}}, nil
}

// respondToRepeated responds to a submission of a job that is already known. If the job's description
// was lost, the submission restores it. If respondToRepeated returns no response, the caller must
// try again.
func (a *API) respondToRepeated(ctx context.Context, spec *jobs.Spec) (*response, error) {
	known, revision, err := a.readRecord(ctx, spec.ID)
	if err != nil || known == nil {
		return nil, err
	}
	if a.mayBeFinished(spec.ID, known) {
		return unavailableResponse(notCurrentText), nil
	}
	if known.Held != nil && known.Held.Spec == nil {
		value := known.EncodeWithDescription(spec)
		if len(value) <= a.Derived.Store.ValueBytes {
			if _, ok, err := a.replaceRecord(ctx, spec.ID, revision, value); !ok {
				return nil, err
			}
			slog.Info("restored the description of a lost job from a repeated submission", "job", spec.ID, "held", !known.Held.OnlySpecMissing)
		}
	}
	return stateResponse(spec.ID, a.displayState(spec.ID, known)), nil
}
