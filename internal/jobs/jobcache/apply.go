package jobcache

import (
	"encoding/json"
	"log/slog"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// RequestBaseline returns the baseline to pass to ApplyResponse. It must be called before the
// request that reads or writes the record.
func (c *Cache) RequestBaseline() detection.Baseline { return c.newest.Baseline() }

// ApplyResponse applies a record that another part of this controller has read or written. If the
// store was rolled back after RequestBaseline, the record may be lost and its revision may date
// from before the rollback, so the revision is ignored.
func (c *Cache) ApplyResponse(baseline detection.Baseline, pair kvstore.KeyValue) {
	if !c.newest.Advance(baseline, pair.Revision) {
		pair.Revision = 0
	}
	c.Apply(pair.Key, pair.Value, pair.Revision)
}

// Apply applies a record as of a revision. After a listing, the watch repeats changes that the
// listing already contained, so an older record never replaces a newer one.
func (c *Cache) Apply(key string, value json.RawMessage, revision uint64) {
	summary, err := jobs.DecodeSummary(value)
	if err != nil {
		slog.Error("job record unreadable", "key", key, "reason", err)
		return
	}
	recorded := entry{state: internedState(summary.State), tasks: summary.Tasks, revision: revision}
	if evidence := c.applyEntry(jobs.JobIDFromKey(key), recorded, value); evidence != "" {
		slog.Error("record says less than is known", "key", key, "reason", string(evidence))
		c.reportLoss(detection.Evidence{Kind: evidence, Key: key, Found: revision})
	}
}

// applyEntry applies the content of a record. It returns evidence if the record is not the newest
// one that this controller knows. It returns the empty kind if there is no evidence, or if the
// same evidence was returned before.
func (c *Cache) applyEntry(id string, recorded entry, value json.RawMessage) (evidence detection.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, _ := c.entries.get(id)
	if old.revision > recorded.revision {
		return ""
	}
	merged, evidence := mergeEntries(old, recorded)
	c.entries.set(id, merged)
	c.announced.confirm(id, merged)
	c.recent.add(id, recorded.revision)
	c.unfinished.update(id, merged, value)
	if evidence != "" {
		previous := c.lost.add(lostJob{strings.Clone(id), recorded.state})
		if previous.recordedState == recorded.state {
			return "" // reported before
		}
		return evidence
	}
	c.lost.remove(id)
	if merged.state == jobs.Cancelled && old.revision < merged.revision {
		c.cancellations.add(jobs.Cancellation{Job: id, Revision: merged.revision})
	}
	return ""
}

// mergeEntries returns the entry to keep when a record differs from what is known. A finished job
// stays finished in the state that users were told, whatever the record says.
func mergeEntries(known, recorded entry) (merged entry, evidence detection.Kind) {
	switch {
	case !known.finished() || known.state == recorded.state:
		return recorded, ""
	case recorded.finished():
		return entry{known.state, known.tasks, recorded.revision}, detection.RecordContradicts
	}
	return entry{known.state, known.tasks, recorded.revision}, detection.RecordOlder
}

// ApplyRemoval handles a watch event that shows the removal of a record. No version of this
// software ever removes a record, so the removal is evidence of a loss.
func (c *Cache) ApplyRemoval(key string, revision uint64) {
	id := jobs.JobIDFromKey(key)
	c.mu.Lock()
	known, found := c.entries.get(id)
	isNew := !found || known.revision <= revision && c.addMissingLocked(id, known)
	c.mu.Unlock()
	if isNew {
		c.reportLoss(detection.Evidence{Kind: detection.RecordRemoved, Key: key, Known: known.revision, Found: revision})
	}
}

// MarkMissing records that a read did not find a job's record. It returns what this controller
// knows of the job.
func (c *Cache) MarkMissing(id string) (rec jobs.Record, known bool) {
	c.mu.Lock()
	e, known := c.entries.get(id)
	isNew := known && c.addMissingLocked(id, e)
	c.mu.Unlock()
	if isNew {
		c.reportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: jobs.RecordKey(id), Known: e.revision})
	}
	return jobs.Record{State: e.state, Tasks: e.tasks}, known
}

// addMissingLocked marks a job as having no record and reports whether it was not marked before.
func (c *Cache) addMissingLocked(id string, known entry) (isNew bool) {
	previous, wasLost := c.lost.get(id)
	c.lost.add(lostJob{id: strings.Clone(id)})
	known.revision = 0
	c.entries.set(id, known)
	return !wasLost || previous.recordedState != ""
}

// AddLost adds a lost job that this controller does not know, or of which other controllers know
// a newer state.
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

// forgetRevision clears the revision of a job's entry, so that the next record of the job is
// applied whatever its revision is.
func (c *Cache) forgetRevision(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, _ := c.entries.get(id)
	e.revision = 0
	c.entries.set(id, e)
}

// forgetRevisionsAbove handles a rollback of the store to the given revision. Higher revisions in
// the cache are invalid, because the store assigns them again. Until the leader reports that the
// records are restored, they may be behind what users were told.
func (c *Cache) forgetRevisionsAbove(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries.forgetRevisionsAbove(revision)
	c.recent.changes = nil
	c.Readiness.rolledBack = true
}
