package jobapi

import (
	"context"
	"log/slog"
	"net/http"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// withdrawJob cancels a job. A job that is already finished is not changed; the response is its
// state.
func (a *API) withdrawJob(ctx context.Context, _ http.ResponseWriter, r *http.Request) *answer {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		return noSuchJob()
	}
	return a.retry(ctx, func() (*answer, error) { return a.cancel(ctx, id) })
}

// cancel attempts once to write the record of a cancelled job. If it returns no response, the
// caller must try again.
func (a *API) cancel(ctx context.Context, id string) (*answer, error) {
	rec, revision, err := a.readRecord(ctx, id)
	switch {
	case err != nil:
		return nil, err
	case rec == nil && !a.Cache.NeverAccepted(id):
		return unavailable(recordsMissingText), nil
	case rec == nil:
		return noSuchJob(), nil
	case rec.Finished():
		return found(id, rec.State), nil
	case a.mayBeFinished(id, rec):
		return unavailable(notCurrentText), nil
	}
	value := rec.FinalForm(jobs.Cancelled, a.Derived.Store.ValueBytes)
	request := a.Cache.BeginRequest()
	written, ok, err := a.replaceRecord(ctx, id, revision, value)
	if !ok {
		return nil, err
	}
	a.Cache.ApplyAnswer(request, kvstore.KeyValue{Key: jobs.RecordKey(id), Value: value, Revision: written})
	slog.Debug("job cancelled", "job", id)
	return found(id, jobs.Cancelled), nil
}
