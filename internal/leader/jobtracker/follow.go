package jobtracker

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// recordWatch is the progress of the watch on the records of jobs. It belongs to the goroutine that
// runs Follow.
type recordWatch struct {
	seenRevision         uint64 // all changes up to this revision have been seen
	storeRevision        uint64 // a revision that the store had after storeRevisionAskedAt
	storeRevisionAskedAt time.Time
	watermark            detection.Watermark
}

// isCaughtUp reports whether all changes up to storeRevisionAskedAt have been seen. The watch must
// have reached a revision that was read after that time. A response of the watch alone proves
// nothing: a watch may lag, or be empty because the store does not serve this controller.
func (w *recordWatch) isCaughtUp() bool {
	return w.seenRevision >= w.storeRevision && !w.storeRevisionAskedAt.IsZero()
}

// Follow watches the records of jobs from a revision on until the context ends, and posts their
// changes to the event loop. It blocks and runs on its own goroutine.
func (t *Tracker) Follow(ctx context.Context, after uint64) {
	watch := &recordWatch{seenRevision: after}
	for ctx.Err() == nil {
		rolledBack := t.readRevision(ctx, watch)
		baseline := watch.watermark.Baseline()
		revision, changes, err := t.readChanges(ctx, watch.seenRevision, rolledBack)
		if err != nil {
			slog.Debug("failed to watch job records", "reason", err)
			select {
			case <-ctx.Done():
			case <-time.After(t.Derived.Election.RenewInterval):
			}
			continue
		}
		watch.seenRevision = max(watch.seenRevision, revision)
		watch.watermark.Advance(baseline, revision)
		t.postChanges(ctx, watch, changes)
	}
}

// readRevision reads the store's revision once the watch has reached the one read before. It
// reports whether the store was rolled back in the meantime. The store then reuses revisions, and
// the earlier ones prove nothing.
func (t *Tracker) readRevision(ctx context.Context, watch *recordWatch) (rolledBack bool) {
	if watch.storeRevision > watch.seenRevision {
		return false
	}
	baseline := watch.watermark.Baseline()
	askedAt := time.Now()
	revision, err := t.Store.Revision(ctx)
	if err != nil {
		return false
	}
	watch.storeRevision, watch.storeRevisionAskedAt = revision, askedAt
	evidence, rolledBack := watch.watermark.Observe(baseline, detection.RevisionRolledBack, "", revision)
	if rolledBack {
		t.Post(ctx, func(now time.Time) { t.Recovery.ReportLoss(evidence, now) })
		watch.seenRevision = 0
	}
	return rolledBack
}

// readChanges waits for changes of job records. If changes may have been missed, it lists all
// records instead.
func (t *Tracker) readChanges(ctx context.Context, after uint64, rolledBack bool) (uint64, []kvstore.Change, error) {
	revision, changes, err := t.Store.Watch(ctx, jobs.RecordPrefix, after, t.Derived.Store.WatchTimeout)
	if !rolledBack && !t.Recovery.TakeRelistRequest() && !errors.Is(err, kvstore.ErrCompacted) {
		return revision, changes, err
	}
	records, revision, err := t.Store.List(ctx, jobs.RecordPrefix)
	if err != nil {
		return revision, nil, err
	}
	for _, record := range records {
		changes = append(changes, kvstore.Change{Set: record.Key, Value: record.Value, Revision: record.Revision})
	}
	return revision, changes, nil
}

// postChanges posts changes to the event loop.
func (t *Tracker) postChanges(ctx context.Context, watch *recordWatch, changes []kvstore.Change) {
	seen, caughtUp, askedAt := watch.seenRevision, watch.isCaughtUp(), watch.storeRevisionAskedAt
	t.Post(ctx, func(now time.Time) {
		if caughtUp && askedAt.After(t.currentAsOf) {
			t.currentAsOf = askedAt
		}
		t.apply(changes, seen, now)
	})
}
