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

// ErrWatchLagging means that the watch did not deliver all changes up to the current revision of
// the store.
var ErrWatchLagging = errors.New("watch lags behind the revision of the store")

// maxWatchAttempts is the maximum number of watch requests that one read makes while the watch
// lags.
const maxWatchAttempts = 3

// reader keeps the cache up to date. One read serves all requests that wait at the same time.
type reader struct {
	cache            *Cache
	store            *kvstore.Client
	minReadInterval  time.Duration   // minimum time between two reads
	idleReadInterval time.Duration   // time after which it reads without a request
	requests         chan chan error // each channel receives the error of a read that starts after the request

	// Used only by the goroutine of run.
	watching bool   // all records were read up to a revision, so reading later changes is enough
	revision uint64 // all changes up to this revision have been read
}

// requestRead asks for a read as soon as minReadInterval allows and returns without waiting for
// it.
func (r *reader) requestRead() {
	select {
	case r.requests <- make(chan error, 1):
	default: // a read is in progress or about to start
	}
}

// waitForRead waits for a read that starts after the call and returns the read's error.
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
	idleInterval := r.minReadInterval // other controllers may soon need to know what this one has told users
	for {
		waiters, ok := r.collectRequests(ctx, idleInterval, lastRead)
		if !ok {
			return
		}
		lastRead = time.Now()
		err := r.readAndCompare(ctx)
		for _, done := range waiters {
			done <- err
		}
		if err == nil {
			err = r.cache.auditor.runRequested(ctx)
		}
		if err != nil {
			slog.Debug("failed to read job records", "reason", err)
		}
		idleInterval = r.idleReadInterval
		if r.cache.auditor.pending() || r.cache.Readiness.completenessPending() || r.cache.rollbackCheckRequested() {
			idleInterval = r.minReadInterval
		}
	}
}

// collectRequests waits for a request or for idleInterval to pass. It then collects further
// requests until minReadInterval has passed since the last read. It returns false if the context
// has ended.
func (r *reader) collectRequests(ctx context.Context, idleInterval time.Duration, lastRead time.Time) (waiters []chan error, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case done := <-r.requests:
		waiters = append(waiters, done)
	case <-time.After(idleInterval):
	}
	minIntervalOver := time.After(r.minReadInterval - time.Since(lastRead))
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case done := <-r.requests:
			waiters = append(waiters, done)
		case <-minIntervalOver:
			return waiters, true
		}
	}
}

// readAndCompare reads and then compares the result with what other controllers had announced
// before the read started.
func (r *reader) readAndCompare(ctx context.Context) error {
	peers := r.cache.Readiness.peerJobCount()
	unread := r.cache.unreadAnnouncements()
	if err := r.read(ctx); err != nil {
		return err
	}
	r.cache.addLostAnnouncements(unread)
	r.cache.compareJobCount(peers)
	return nil
}

// read brings the cache up to date. A watch may lag, or return nothing because the store does not
// serve this controller. Therefore read gets the store's revision first, and the watch has to
// reach it.
func (r *reader) read(ctx context.Context) error {
	if err := r.checkForRollback(ctx); err != nil {
		return err
	}
	if !r.watching {
		return r.readAll(ctx)
	}
	baseline := r.cache.newest.Baseline()
	minRevision, err := r.store.Revision(ctx)
	if err != nil {
		return err
	}
	r.checkRevision(baseline, minRevision)
	if !r.watching {
		return r.readAll(ctx)
	}
	err = r.readChanges(ctx, minRevision)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.watching = false
		return r.readAll(ctx)
	}
	return err
}

// readChanges applies changes from the watch until it has reached minRevision.
func (r *reader) readChanges(ctx context.Context, minRevision uint64) error {
	for range maxWatchAttempts {
		baseline := r.cache.newest.Baseline()
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
		r.cache.newest.Advance(baseline, revision)
		if r.revision >= minRevision {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(r.minReadInterval):
		}
	}
	return ErrWatchLagging
}

// readAll reads all records and adds them to the cache. Records are never removed, so if the
// cache then has more records than were read, the store may have lost some.
func (r *reader) readAll(ctx context.Context) error {
	if !r.cache.Readiness.InitialReadDone() {
		if err := r.readRecoveryStatus(ctx); err != nil {
			return err
		}
	}
	baseline := r.cache.newest.Baseline()
	scanned, revision, err := r.cache.auditor.scan(ctx, 0, func(string) {})
	if err != nil {
		return err
	}
	if r.checkRevision(baseline, revision) {
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

// readRecoveryStatus reads whether a leader is comparing records after a loss.
func (r *reader) readRecoveryStatus(ctx context.Context) error {
	_, found, err := r.store.Get(ctx, jobs.RecoveryStatusKey)
	if err != nil {
		return err
	}
	r.cache.Readiness.setStartedInRecovery(found)
	return nil
}

// checkRevision checks a revision just read against the baseline. A lower revision proves that
// the store was rolled back. The store then assigns the same revisions again, so all records have
// to be read again.
func (r *reader) checkRevision(baseline detection.Baseline, found uint64) (rolledBack bool) {
	loss, rolledBack := r.cache.newest.Observe(baseline, detection.RevisionRolledBack, "", found)
	if !rolledBack {
		return false
	}
	slog.Error("state service rolled back", "known", loss.Known, "found", loss.Found)
	r.resetAfterRollback(found)
	r.cache.reportLoss(loss)
	return true
}

// resetAfterRollback handles a rollback of the store to the given revision. It makes the reader
// read all records again.
func (r *reader) resetAfterRollback(revision uint64) {
	r.watching = false
	r.cache.forgetRevisionsAbove(revision)
}
