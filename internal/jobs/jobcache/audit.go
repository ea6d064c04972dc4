package jobcache

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// auditor compares all records with what the cache knows, by reading all of them. Its methods
// may be called by several goroutines; the tickets are guarded by the cache's mutex.
type auditor struct {
	cache *Cache
	store *kvstore.Client

	lastTicket uint64 // the last that was given out
	doneTicket uint64 // audits up to this one have been made
}

// RequestAudit has all records compared with what this controller knows, once. AuditDone tells
// when that is done.
func (c *Cache) RequestAudit() (ticket uint64) {
	c.mu.Lock()
	c.auditor.lastTicket++
	ticket = c.auditor.lastTicket
	c.mu.Unlock()
	c.reader.request()
	return ticket
}

// AuditDone tells whether an audit that was requested has been made.
func (c *Cache) AuditDone(ticket uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.auditor.doneTicket >= ticket
}

// RunAudits compares all records with what this controller knows after each interval, pausing
// between two pages of records, until the context ends. It does nothing if every is 0.
func (c *Cache) RunAudits(ctx context.Context, every, pause time.Duration) {
	for every > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		if !c.Readiness.ReadAllBeforeLoss() {
			continue
		}
		if err := c.auditor.findMissing(ctx, pause); err != nil {
			slog.Debug("records not audited", "reason", err)
		}
	}
}

// runRequested makes the audits that were requested by now, in one.
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

// pending tells whether an audit is requested and not made.
func (a *auditor) pending() bool {
	a.cache.mu.RLock()
	defer a.cache.mu.RUnlock()
	return a.lastTicket != a.doneTicket
}

// findMissing reads all records and notes each job that is known and not among them. It pauses
// between two pages. Jobs accepted since it began prove nothing.
func (a *auditor) findMissing(ctx context.Context, pause time.Duration) error {
	c := a.cache
	c.mu.RLock()
	left := c.entries.ids()
	c.mu.RUnlock()
	_, revision, err := a.scan(ctx, pause, left.remove)
	if err != nil {
		return err
	}
	evidence, count := detection.Evidence{}, 0
	c.mu.Lock()
	left.each(func(id string) {
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

// scan reads all records once into the cache, hands over each one's job id, and returns how many
// there were and the revision that they are at. A record is older than known if that was learnt
// while its page was on the way, or if the store was rolled back: only what was known before the
// scan began proves the latter.
func (a *auditor) scan(ctx context.Context, pause time.Duration, each func(id string)) (count int, revision uint64, err error) {
	c := a.cache
	var older []kvstore.KeyValue // records of an older revision than is known
	revision, err = a.store.ForEachPaced(ctx, jobs.RecordPrefix, pause, func(pair kvstore.KeyValue) {
		count++
		id := jobs.JobIDFromKey(pair.Key)
		each(id)
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
