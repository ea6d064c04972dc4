package jobcache

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// ErrWatchLags means that the changes up to now were not to be had.
var ErrWatchLags = errors.New("changes lag")

// watchTries is how often a read asks for changes that lag.
const watchTries = 3

// reader brings the cache up to date, for all who wait at a time by one read.
type reader struct {
	cache    *Cache
	store    *kvstore.Client
	gap      time.Duration   // least time between two reads
	idle     time.Duration   // the cache is kept up to date without requests, too
	requests chan chan error // each is answered with the error of a read that began later

	// Owned by the goroutine of run.
	watching bool   // all records up to a revision are known, so that the changes since it do
	revision uint64 // which all changes up to have been read
}

// request has the reader read as soon as it may.
func (r *reader) request() {
	select {
	case r.requests <- make(chan error, 1):
	default: // it is reading, or about to
	}
}

// waitForRead returns when a read that began after the call has ended, with its error.
func (r *reader) waitForRead(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case r.requests <- done:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads until the context ends.
func (r *reader) run(ctx context.Context) {
	var lastRead time.Time
	idle := r.gap // others may soon need to know what this controller has told users
	for {
		waiting, ok := r.collectRequests(ctx, idle, lastRead)
		if !ok {
			return
		}
		lastRead = time.Now()
		err := r.readAndCompare(ctx)
		for _, done := range waiting {
			done <- err
		}
		if err == nil {
			err = r.cache.auditor.runRequested(ctx)
		}
		if err != nil {
			slog.Debug("records not read", "reason", err)
		}
		idle = r.idle
		if r.cache.auditor.pending() || r.cache.Readiness.completenessPending() || r.cache.rollbackCheckRequested() {
			idle = r.gap
		}
	}
}

// collectRequests waits for a request, or for the idle time to pass; then it collects further
// requests until the gap after the last read is over. It returns false if the context has ended.
func (r *reader) collectRequests(ctx context.Context, idle time.Duration, lastRead time.Time) (waiting []chan error, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case done := <-r.requests:
		waiting = append(waiting, done)
	case <-time.After(idle):
	}
	gapOver := time.After(r.gap - time.Since(lastRead))
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case done := <-r.requests:
			waiting = append(waiting, done)
		case <-gapOver:
			return waiting, true
		}
	}
}

// readAndCompare reads, and compares what was read with what the other controllers had told
// before the read began.
func (r *reader) readAndCompare(ctx context.Context) error {
	peers := r.cache.Readiness.peerCount()
	unread := r.cache.unreadAnnouncements()
	if err := r.read(ctx); err != nil {
		return err
	}
	r.cache.addLostAnnouncements(unread)
	r.cache.comparePeerCount(peers)
	return nil
}

// read brings the cache up to date. A watch may lag, or be empty because the store does not
// serve this controller: the revision, read first, is what it has to reach.
func (r *reader) read(ctx context.Context) error {
	if err := r.checkForRollback(ctx); err != nil {
		return err
	}
	if !r.watching {
		return r.readAll(ctx)
	}
	request := r.cache.newest.Baseline()
	least, err := r.store.Revision(ctx)
	if err != nil {
		return err
	}
	r.checkRevision(request, least)
	if !r.watching {
		return r.readAll(ctx)
	}
	err = r.readChanges(ctx, least)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.watching = false
		return r.readAll(ctx)
	}
	return err
}

// readChanges takes in changes until those up to a revision are read.
func (r *reader) readChanges(ctx context.Context, least uint64) error {
	for range watchTries {
		request := r.cache.newest.Baseline()
		revision, changes, err := r.store.Watch(ctx, jobs.RecordPrefix, r.revision, 0)
		if err != nil {
			return err
		}
		for _, change := range changes {
			if change.Set != "" {
				r.cache.Apply(change.Set, change.Value, change.Revision)
			} else {
				r.cache.ApplyRemoval(change.Remove, change.Revision)
			}
		}
		r.revision = max(r.revision, revision)
		r.cache.newest.Advance(request, revision)
		if r.revision >= least {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(r.gap):
		}
	}
	return ErrWatchLags
}

// readAll reads all records. They are never removed, so that what is known of them is only added
// to: if more are known afterwards than were read, some may be missing.
func (r *reader) readAll(ctx context.Context) error {
	if !r.cache.Readiness.InitialReadDone() {
		if err := r.readRecoveryStatus(ctx); err != nil {
			return err
		}
	}
	request := r.cache.newest.Baseline()
	scanned, revision, err := r.cache.auditor.scan(ctx, 0, func(string) {})
	if err != nil {
		return err
	}
	if r.checkRevision(request, revision) {
		return r.readAll(ctx)
	}
	if r.cache.RecordedCount() > scanned {
		if err := r.cache.auditor.findMissing(ctx, 0); err != nil {
			return err
		}
	}
	r.watching, r.revision = true, revision
	r.cache.Readiness.setInitialReadDone()
	return nil
}

// readRecoveryStatus finds out whether records are being compared at the moment.
func (r *reader) readRecoveryStatus(ctx context.Context) error {
	_, found, err := r.store.Get(ctx, jobs.RecoveryStatusKey)
	if err != nil {
		return err
	}
	r.cache.Readiness.setBegunInRecovery(found)
	return nil
}

// checkRevision takes in a revision that was just read. One below those before shows that the
// store was rolled back: revisions are given out again, and all is read anew.
func (r *reader) checkRevision(request detection.Baseline, found uint64) (rolledBack bool) {
	loss, rolledBack := r.cache.newest.Observe(request, detection.RevisionBack, "", found)
	if !rolledBack {
		return false
	}
	slog.Error("state service rolled back", "known", loss.Known, "found", loss.Found)
	r.startOver(found)
	r.cache.reportLoss(loss)
	return true
}

// startOver takes in that the store was rolled back to a revision: all is read anew.
func (r *reader) startOver(revision uint64) {
	r.watching = false
	r.cache.forgetRevisionsAbove(revision)
}
