package writer

import (
	"context"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/recovery/detection"
)

// readConflicts reads the keys that were not as expected, each until it can be read.
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

// ApplyConflict takes in what a key is whose guard has failed.
func (w *Writer) ApplyConflict(batch *transaction.Batch, key string, found kvstore.KeyValue) {
	if jobs.JobIDFromKey(key) != key {
		w.applyRecord(key, found)
		return
	}
	batch.Learn(key, found.Revision)
	w.Recovery.CheckSegment(key, found)
}

// applyRecord takes in the record of a job that was to be written as done.
func (w *Writer) applyRecord(key string, found kvstore.KeyValue) {
	id := jobs.JobIDFromKey(key)
	job := w.State.Jobs[id]
	if job == nil {
		w.Jobs.DropCompleted(id) // settled meanwhile: its end is written by others
		return
	}
	if found.Revision == 0 {
		// Lost: it is written in place of what is not there any more.
		job.Revision = 0
		w.Recovery.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: key}, time.Now())
		return
	}
	var record jobs.Record
	if jsonv2.Unmarshal(found.Value, &record) != nil {
		return
	}
	if !record.Finished() {
		job.Revision = found.Revision // it was lost and is back
		return
	}
	w.Jobs.DropCompleted(id)
	switch record.State {
	case jobs.Done:
		w.Jobs.CompletionDurable(job)
	case jobs.Cancelled:
		if !job.End.Cancelled {
			w.Jobs.Cancel(job, found.Revision)
		}
	}
}
