package jobcache

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// After a rollback during an outage, the store assigns revisions again. Once new changes have
// passed the last revision from before the outage, the store's revision no longer reveals the
// rollback. The most recent changes that a controller knows still do: each of their records must
// be at the known revision or at a later one.

// maxRecentChanges is the number of changes kept. A single one would not do, because its record
// may have been written again after the rollback.
const maxRecentChanges = 8

// recentChange is a record and the revision at which this controller knows it.
type recentChange struct {
	id       string
	revision uint64
}

// recentChanges holds the most recent changes that this controller knows, and the state of their
// comparison with the store. The cache's mutex guards it.
type recentChanges struct {
	changes             []recentChange // in ascending order of revision
	comparedOutages     uint64         // number of outages of the store before the last comparison
	comparedAt          time.Time      // start of the last comparison that found no rollback
	comparisonRequested bool           // another comparison is requested
}

// add adds a change, unless an equal or newer revision is already kept.
func (r *recentChanges) add(id string, revision uint64) {
	if n := len(r.changes); revision == 0 || n > 0 && r.changes[n-1].revision >= revision {
		return
	}
	if len(r.changes) == maxRecentChanges {
		copy(r.changes, r.changes[1:])
		r.changes = r.changes[:maxRecentChanges-1]
	}
	r.changes = append(r.changes, recentChange{strings.Clone(id), revision})
}

// comparisonDue reports whether a comparison was requested or an outage occurred since the last
// one.
func (r *recentChanges) comparisonDue(outages uint64) bool {
	return r.comparisonRequested || r.comparedOutages != outages
}

// RequestRollbackCheck schedules a comparison of the most recent known changes with the records.
func (c *Cache) RequestRollbackCheck() {
	c.mu.Lock()
	c.recent.comparisonRequested = true
	c.mu.Unlock()
	c.reader.requestRead()
}

// RollbackCheckedAt returns the start of the last comparison that found no rollback.
func (c *Cache) RollbackCheckedAt() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.recent.comparedAt
}

func (c *Cache) rollbackCheckRequested() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.recent.comparisonRequested
}

// checkForRollback compares the most recent known changes with the records after an outage or on
// request. If a record is missing or older than known, the store was rolled back.
func (r *reader) checkForRollback(ctx context.Context) error {
	startedAt, outages := time.Now(), r.store.Outages()
	c := r.cache
	c.mu.Lock()
	due := c.recent.comparisonDue(outages)
	known := append([]recentChange(nil), c.recent.changes...)
	c.mu.Unlock()
	if !due {
		return nil
	}
	rolledBack, err := r.findRolledBack(ctx, known)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.recent.comparisonRequested, c.recent.comparedOutages = false, outages
	if rolledBack == nil {
		c.recent.comparedAt = startedAt
	}
	c.mu.Unlock()
	if rolledBack != nil {
		slog.Error("state service rolled back", "record", rolledBack.Key, "known", rolledBack.Known, "found", rolledBack.Found)
		r.resetAfterRollback(0)
		c.reportLoss(*rolledBack)
	}
	return nil
}

// findRolledBack returns evidence of a record that is missing or older than known, or nil if
// there is none. One guarded transaction without writes compares all of them.
func (r *reader) findRolledBack(ctx context.Context, known []recentChange) (*detection.Evidence, error) {
	var guards []kvstore.Guard
	revisions := map[string]uint64{}
	for _, change := range known {
		key := jobs.RecordKey(change.id)
		if revisions[key] == 0 {
			guards = append(guards, kvstore.Guard{Key: key})
		}
		revisions[key] = change.revision
	}
	for i := range guards {
		guards[i].Revision = revisions[guards[i].Key]
	}
	if len(guards) == 0 {
		return nil, nil
	}
	_, changed, err := r.store.Commit(ctx, guards, nil)
	if err != nil {
		return nil, err
	}
	for _, key := range changed {
		pair, _, err := r.store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if pair.Revision < revisions[key] {
			return &detection.Evidence{Kind: detection.RevisionRolledBack, Key: key, Known: revisions[key], Found: pair.Revision}, nil
		}
	}
	return nil, nil
}
