package jobcache

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// auditor compares all records in the key-value store with the cache by reading all of them. Its
// methods may be called by several goroutines concurrently. The cache's mutex guards the tickets.
type auditor struct {
	cache *Cache
	store *kvstore.Client

	lastTicket uint64 // the last ticket issued
	doneTicket uint64 // audits up to this ticket are done
}

// RequestAudit schedules one comparison of all records with the cache. AuditDone reports whether
// it is done.
func (c *Cache) RequestAudit() (ticket uint64) {
	c.mu.Lock()
	c.auditor.lastTicket++
	ticket = c.auditor.lastTicket
	c.mu.Unlock()
	c.reader.requestRead()
	return ticket
}

// AuditDone reports whether the audit with the ticket is done.
func (c *Cache) AuditDone(ticket uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.auditor.doneTicket >= ticket
}

// RunAudits compares all records with the cache at the given interval until the context ends,
// pausing between two pages of records. It returns at once if interval is 0.
func (c *Cache) RunAudits(ctx context.Context, interval, pause time.Duration) {
	for interval > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if !c.Readiness.ReadAllBeforeLoss() {
			continue
		}
		if err := c.auditor.findMissing(ctx, pause); err != nil {
			slog.Debug("audit of job records failed", "reason", err)
		}
	}
}

// runRequested runs one audit that serves all requests made so far.
func (a *auditor) runRequested(ctx context.Context) error {
	a.cache.mu.RLock()
	requested, done := a.lastTicket, a.doneTicket
	a.cache.mu.RUnlock()
	if requested == done {
		return nil
	}
	if err := a.findMissing(ctx, 0); err != nil {
		return err
	}
	a.cache.mu.Lock()
	defer a.cache.mu.Unlock()
	a.doneTicket = requested
	return nil
}

// pending reports whether a requested audit is not done yet.
func (a *auditor) pending() bool {
	a.cache.mu.RLock()
	defer a.cache.mu.RUnlock()
	return a.lastTicket != a.doneTicket
}

// findMissing reads all records, pausing between two pages, and marks each known job without a
// record as missing. A job accepted after the read started may be absent from it and is not marked.
func (a *auditor) findMissing(ctx context.Context, pause time.Duration) error {
	c := a.cache
	c.mu.RLock()
	unseen := c.entries.ids()
	c.mu.RUnlock()
	_, revision, err := a.scan(ctx, pause, unseen.remove)
	if err != nil {
		return err
	}
	evidence, count := detection.Evidence{}, 0
	c.mu.Lock()
	unseen.each(func(id string) {
		known, found := c.entries.get(id)
		if found && known.revision <= revision && c.addMissingLocked(id, known) {
			evidence = detection.Evidence{Kind: detection.RecordMissing, Key: jobs.RecordKey(id), Known: known.revision}
			count++
		}
	})
	c.mu.Unlock()
	if count > 0 {
		slog.Error("records missing", "jobs", count)
		c.reportLoss(evidence)
	}
	return nil
}

// scan reads all records once into the cache and calls visit with every job ID. It returns the
// number of records and their revision.
//
// A record that is older than the cache's entry is evidence of a rollback only if the entry was
// known before the scan started. Otherwise the entry may have been updated while the page was in
// transit.
func (a *auditor) scan(ctx context.Context, pause time.Duration, visit func(id string)) (count int, revision uint64, err error) {
	c := a.cache
	var older []kvstore.KeyValue // records whose revision is below the one known
	revision, err = a.store.ForEachPaced(ctx, jobs.RecordPrefix, pause, func(pair kvstore.KeyValue) {
		count++
		id := jobs.JobIDFromKey(pair.Key)
		visit(id)
		if c.RecordRevision(id) > pair.Revision {
			older = append(older, pair)
			return
		}
		c.Apply(pair.Key, pair.Value, pair.Revision)
	})
	if err != nil {
		return count, 0, err
	}
	for _, pair := range older {
		id := jobs.JobIDFromKey(pair.Key)
		if c.RecordRevision(id) <= revision {
			c.forgetRevision(id)
			c.reportLoss(detection.Evidence{Kind: detection.RecordOlder, Key: pair.Key, Found: pair.Revision})
			c.Apply(pair.Key, pair.Value, pair.Revision)
		}
	}
	return count, revision, nil
}
