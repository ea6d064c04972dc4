package jobcache

import (
	"github.com/google/btree"
)

// LostJob is a job of which this controller knows more than the key-value store.
type LostJob struct {
	ID            string
	State         string // as this controller knows it: more than the record says, or there is none
	Tasks         int
	Revision      uint64 // of the record as it stands; 0 if there is none
	RecordedState string // what the record says; empty if there is none
}

// lostJob is what is kept of a lost job besides its entry.
type lostJob struct {
	id            string
	recordedState string // what its record says; empty if there is none
}

// lostJobs are the jobs of which more is known than the store says, by id. They are guarded by
// the cache's mutex.
type lostJobs struct {
	byID          *btree.BTreeG[lostJob]
	withoutRecord int // how many of them have no record
}

// lostTreeDegree is the width of the tree's nodes.
const lostTreeDegree = 16

func newLostJobs() lostJobs {
	return lostJobs{byID: btree.NewG(lostTreeDegree, func(a, b lostJob) bool { return a.id < b.id })}
}

func (l *lostJobs) get(id string) (job lostJob, found bool) { return l.byID.Get(lostJob{id: id}) }

// add takes in a lost job, and returns what was kept of it before.
func (l *lostJobs) add(job lostJob) (before lostJob) {
	before = l.remove(job.id)
	l.byID.ReplaceOrInsert(job)
	if job.recordedState == "" {
		l.withoutRecord++
	}
	return before
}

// remove takes in that a job is not lost any more, and returns what was kept of it.
func (l *lostJobs) remove(id string) (before lostJob) {
	if l.byID.Len() == 0 {
		return lostJob{}
	}
	before, had := l.byID.Delete(lostJob{id: id})
	if had && before.recordedState == "" {
		l.withoutRecord--
	}
	return before
}

// page returns at most limit jobs in the order of their ids after one, and whether there are
// more.
func (l *lostJobs) page(after string, limit int) (page []lostJob, more bool) {
	l.byID.AscendGreaterOrEqual(lostJob{id: after}, func(job lostJob) bool {
		if job.id == after {
			return true
		}
		if len(page) == limit {
			more = true
			return false
		}
		page = append(page, job)
		return true
	})
	return page, more
}

// LostPage returns at most limit jobs of which this controller knows more than the key-value
// store, in the order of their ids after one, and whether there are more.
func (c *Cache) LostPage(after string, limit int) (page []LostJob, more bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	lost, more := c.lost.page(after, limit)
	for _, job := range lost {
		e, _ := c.entries.get(job.id)
		page = append(page, LostJob{ID: job.id, State: e.state, Tasks: e.tasks, Revision: e.revision, RecordedState: job.recordedState})
	}
	return page, more
}

// IsLost tells whether this controller knows more of a job than the key-value store.
func (c *Cache) IsLost(id string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lost.byID.Has(lostJob{id: id})
}

// LostCount returns how many jobs this controller knows more of than the key-value store.
func (c *Cache) LostCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lost.byID.Len()
}

// RecordedCount returns how many jobs have a record, as far as this controller knows.
func (c *Cache) RecordedCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries.size() - c.lost.withoutRecord
}
