package jobcache

import (
	"encoding/json"
	"log/slog"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// BeginRequest has to be called before a record is read or written that ApplyAnswer takes in.
func (c *Cache) BeginRequest() detection.Baseline { return c.newest.Baseline() }

// ApplyAnswer takes in a record that was read or written by another part of this process. If the
// store was rolled back meanwhile, its revision may be of the past, and the record lost.
func (c *Cache) ApplyAnswer(request detection.Baseline, pair kvstore.KeyValue) {
	if !c.newest.Advance(request, pair.Revision) {
		pair.Revision = 0
	}
	c.Apply(pair.Key, pair.Value, pair.Revision)
}

// Apply takes in a record at a revision. Changes that a listing was ahead of come once more by
// the watch: an older record never replaces a newer one.
func (c *Cache) Apply(key string, value json.RawMessage, revision uint64) {
	summary, err := jobs.DecodeSummary(value)
	if err != nil {
		slog.Error("job record unreadable", "key", key, "reason", err)
		return
	}
	found := entry{state: internedState(summary.State), tasks: summary.Tasks, revision: revision}
	if evidence := c.applyEntry(jobs.JobIDFromKey(key), found, value); evidence != "" {
		slog.Error("record says less than is known", "key", key, "reason", string(evidence))
		c.reportLoss(detection.Evidence{Kind: evidence, Key: key, Found: revision})
	}
}

// applyEntry takes in what a record says, and returns what shows that it is not the newest; empty
// if nothing does, or if that was returned before.
func (c *Cache) applyEntry(id string, found entry, value json.RawMessage) (evidence detection.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, _ := c.entries.get(id)
	if old.revision > found.revision {
		return ""
	}
	now, evidence := mergeEntries(old, found)
	c.entries.set(id, now)
	c.announced.confirm(id, now)
	c.recent.add(id, found.revision)
	c.unfinished.update(id, now, value)
	if evidence != "" {
		before := c.lost.add(lostJob{strings.Clone(id), found.state})
		if before.recordedState == found.state {
			return "" // reported before
		}
		return evidence
	}
	c.lost.remove(id)
	if now.state == jobs.Cancelled && old.revision < now.revision {
		c.cancellations.add(jobs.Cancellation{Job: id, Revision: now.revision})
	}
	return ""
}

// mergeEntries decides what holds where a record differs from what is known. Knowledge only
// grows: a finished job stays so, in the way that users were told.
func mergeEntries(known, found entry) (now entry, evidence detection.Kind) {
	switch {
	case !known.finished() || known.state == found.state:
		return found, ""
	case found.finished():
		return entry{known.state, known.tasks, found.revision}, detection.RecordContradicts
	}
	return entry{known.state, known.tasks, found.revision}, detection.RecordOlder
}

// ApplyRemoval takes in that a watch shows the removal of a record at a revision, which no
// version of this software ever removes.
func (c *Cache) ApplyRemoval(key string, revision uint64) {
	id := jobs.JobIDFromKey(key)
	c.mu.Lock()
	known, found := c.entries.get(id)
	news := !found || known.revision <= revision && c.addMissingLocked(id, known)
	c.mu.Unlock()
	if news {
		c.reportLoss(detection.Evidence{Kind: detection.RecordRemoved, Key: key, Known: known.revision, Found: revision})
	}
}

// NoteMissing takes in that a read did not find a job's record. It returns what this controller
// knows of the job.
func (c *Cache) NoteMissing(id string) (rec jobs.Record, known bool) {
	c.mu.Lock()
	e, known := c.entries.get(id)
	news := known && c.addMissingLocked(id, e)
	c.mu.Unlock()
	if news {
		c.reportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: jobs.RecordKey(id), Known: e.revision})
	}
	return jobs.Record{State: e.state, Tasks: e.tasks}, known
}

// addMissingLocked notes that a job has no record, and returns whether that is news.
func (c *Cache) addMissingLocked(id string, known entry) (news bool) {
	before, had := c.lost.get(id)
	c.lost.add(lostJob{id: strings.Clone(id)})
	known.revision = 0
	c.entries.set(id, known)
	return !had || before.recordedState != ""
}

// AddLost takes in a lost job that other controllers know of and this one does not, or of which
// they know more.
func (c *Cache) AddLost(id, state string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.entries.get(id)
	if found && (known.finished() || known.state == state) {
		return
	}
	c.entries.set(id, entry{state: state, tasks: max(known.tasks, tasks), revision: known.revision})
	recorded := ""
	if known.revision != 0 {
		recorded = known.state
	}
	c.lost.add(lostJob{strings.Clone(id), recorded})
	if state == jobs.Cancelled {
		c.cancellations.add(jobs.Cancellation{Job: id, Revision: known.revision})
	}
}

// forgetRevision has the next record of a job taken in whatever its revision.
func (c *Cache) forgetRevision(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, _ := c.entries.get(id)
	e.revision = 0
	c.entries.set(id, e)
}

// forgetRevisionsAbove takes in that the store was rolled back: revisions above one are of the
// past, as they are given out again. Records may say less than users were told until the leader
// says that this is made good.
func (c *Cache) forgetRevisionsAbove(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries.forgetRevisionsAbove(revision)
	c.recent.changes = nil
	c.Readiness.rolledBack = true
}
