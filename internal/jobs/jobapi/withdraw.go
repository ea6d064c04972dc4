package jobapi

import (
	"context"
	"log/slog"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// cancelJob cancels a job. A job that is already finished is not changed; the response is its
// state.
func (a *API) cancelJob(ctx context.Context, id string) *response {
	return a.retry(ctx, func() (*response, error) { return a.writeCancelledRecord(ctx, id) })
}

// writeCancelledRecord attempts once to write the record of a cancelled job. If it returns no
// response, the caller must try again.
func (a *API) writeCancelledRecord(ctx context.Context, id string) (*response, error) {
	rec, revision, err := a.readRecord(ctx, id)
	switch {
	case err != nil:
		return nil, err
	case rec == nil && !a.Cache.NeverAccepted(id):
		return unavailableResponse(recordsMissingText), nil
	case rec == nil:
		return notFoundResponse(), nil
	case rec.Finished():
		return stateResponse(id, rec.State), nil
	case a.mayBeFinished(id, rec):
		return unavailableResponse(notCurrentText), nil
	}
	value := rec.EncodeFinal(jobs.Cancelled, a.Derived.Store.ValueBytes)
	baseline := a.Cache.RequestBaseline()
	newRevision, ok, err := a.replaceRecord(ctx, id, revision, value)
	if !ok {
		return nil, err
	}
	a.Cache.ApplyResponse(baseline, kvstore.KeyValue{Key: jobs.RecordKey(id), Value: value, Revision: newRevision})
	slog.Debug("job cancelled", "job", id)
	return stateResponse(id, jobs.Cancelled), nil
}
