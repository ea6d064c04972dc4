package writer

import (
	"context"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/wirejson"
)

// readConflicts reads the keys whose guards failed and retries each until it can be read.
func (w *Writer) readConflicts(ctx context.Context, batch *transaction.Batch, keys []string) {
	for _, key := range keys {
		for {
			found, _, err := w.Store.Get(ctx, key)
			if err == nil {
				w.Host.Post(ctx, func(time.Time) { w.ApplyConflict(batch, key, found) })
				break
			}
			if ctx.Err() != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(w.Derived.Election.RenewInterval):
			}
		}
	}
	w.Host.Post(ctx, func(time.Time) { w.inFlight = false })
}

// ApplyConflict processes the present value of a key whose guard failed.
func (w *Writer) ApplyConflict(batch *transaction.Batch, key string, found kvstore.KeyValue) {
	if jobs.JobIDFromKey(key) != key {
		w.applyRecord(key, found)
		return
	}
	batch.HandleConflict(key, found.Revision)
	w.Recovery.CheckSegment(key, found)
}

// applyRecord processes the record of a job whose completion was to be written.
func (w *Writer) applyRecord(key string, found kvstore.KeyValue) {
	id := jobs.JobIDFromKey(key)
	job := w.State.Jobs[id]
	if job == nil {
		// The job has finished and been removed in the meantime. Its record is written elsewhere.
		w.Jobs.DropCompleted(id)
		return
	}
	if found.Revision == 0 {
		// The record was lost: the next attempt creates it again.
		job.Revision = 0
		w.Recovery.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: key}, time.Now())
		return
	}
	var record jobs.Record
	if wirejson.Unmarshal(found.Value, &record) != nil {
		return
	}
	if !record.Finished() {
		job.Revision = found.Revision // the record was lost and has been written again
		return
	}
	w.Jobs.DropCompleted(id)
	switch record.State {
	case jobs.Done:
		w.Jobs.MarkCompletionDurable(job)
	case jobs.Cancelled:
		if !job.End.Cancelled {
			w.Jobs.Cancel(job, found.Revision)
		}
	}
}
