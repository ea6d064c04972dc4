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

// A store that is rolled back in an outage gives its revisions out again. Once new changes have
// overtaken the old ones, its revision tells nothing any more. What tells are the newest changes
// that a controller knows: each record must still be at that revision, or at a later one.

// maxRecentChanges is how many of the newest changes are kept. One alone may have been written
// again since.
const maxRecentChanges = 8

// recentChange is a record and the revision at which this controller knows it.
type recentChange struct {
	id       string
	revision uint64
}

// recentChanges are the newest changes known, and what is known of their comparison with the
// store. They are guarded by the cache's mutex.
type recentChanges struct {
	changes          []recentChange // the newest last
	comparedOutages  uint64         // outages of the store before the last comparison
	comparedAt       time.Time      // when the last comparison that found no rollback was begun
	comparisonWanted bool           // another one is requested
}

// add takes in a change, unless a newer one is known.
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

// comparisonDue tells whether a comparison is requested, or an outage came since the last.
func (r *recentChanges) comparisonDue(outages uint64) bool {
	return r.comparisonWanted || r.comparedOutages != outages
}

// RequestRollbackCheck has the newest changes that this controller knows compared with the
// records soon.
func (c *Cache) RequestRollbackCheck() {
	c.mu.Lock()
	c.recent.comparisonWanted = true
	c.mu.Unlock()
	c.reader.request()
}

// RollbackCheckedAt returns when the last comparison that found no rollback was begun.
func (c *Cache) RollbackCheckedAt() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.recent.comparedAt
}

func (c *Cache) rollbackCheckRequested() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.recent.comparisonWanted
}

// checkForRollback compares the newest changes with the records, after an outage or where that
// is requested. If one is gone, the store was rolled back.
func (r *reader) checkForRollback(ctx context.Context) error {
	began, outages := time.Now(), r.store.Outages()
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
	c.recent.comparisonWanted, c.recent.comparedOutages = false, outages
	if rolledBack == nil {
		c.recent.comparedAt = began
	}
	c.mu.Unlock()
	if rolledBack != nil {
		slog.Error("state service rolled back", "record", rolledBack.Key, "known", rolledBack.Known, "found", rolledBack.Found)
		r.startOver(0)
		c.reportLoss(*rolledBack)
	}
	return nil
}

// findRolledBack returns a record that stands at an older revision than is known, or is missing;
// nil if there is none. One conditional transaction without writes compares them all.
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
			return &detection.Evidence{Kind: detection.RevisionBack, Key: key, Known: revisions[key], Found: pair.Revision}, nil
		}
	}
	return nil, nil
}
