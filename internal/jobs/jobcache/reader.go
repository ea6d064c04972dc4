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

// ErrWatchLags means that the watch did not deliver all changes up to the current revision of the
// store.
var ErrWatchLags = errors.New("watch lags behind the revision of the store")

// watchTries is the maximum number of watch requests that one read makes while the watch lags.
const watchTries = 3

// reader keeps the cache up to date. One read serves all requests that wait at the same time.
type reader struct {
	cache    *Cache
	store    *kvstore.Client
	gap      time.Duration   // minimum time between two reads
	idle     time.Duration   // time after which it reads without a request
	requests chan chan error // each channel receives the error of a read that begins after the request

	// Used only by the goroutine of run.
	watching bool   // all records were read up to a revision, so reading later changes is enough
	revision uint64 // all changes up to this revision have been read
}

// request asks for a read as soon as the gap allows and returns without waiting for it.
func (r *reader) request() {
	select {
	case r.requests <- make(chan error, 1):
	default: // a read is in progress or about to begin
	}
}

// waitForRead waits for a read that begins after the call and returns the read's error.
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
	idle := r.gap // other controllers may soon need to know what this one has told users
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

// collectRequests waits for a request or for the idle time to pass. It then collects further
// requests until the gap since the last read is over. It returns false if the context has ended.
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

// readAndCompare reads and then compares the result with what other controllers had announced
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

// readChanges applies changes from the watch until it has reached the revision least.
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

// readAll reads all records and adds them to the cache. Records are never removed, so if the
// cache then counts more records than were read, some may be missing.
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

// readRecoveryStatus reads whether a leader is comparing records after a loss.
func (r *reader) readRecoveryStatus(ctx context.Context) error {
	_, found, err := r.store.Get(ctx, jobs.RecoveryStatusKey)
	if err != nil {
		return err
	}
	r.cache.Readiness.setBegunInRecovery(found)
	return nil
}

// checkRevision checks a revision just read against the baseline. A lower revision proves that
// the store was rolled back. It then assigns revisions again, so everything has to be read anew.
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

// startOver handles a rollback of the store to the given revision. It makes the reader read all
// records again.
func (r *reader) startOver(revision uint64) {
	r.watching = false
	r.cache.forgetRevisionsAbove(revision)
}
