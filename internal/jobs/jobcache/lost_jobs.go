package jobcache

import (
	"github.com/google/btree"
)

// LostJob is a job whose record is missing or behind what this controller knows.
type LostJob struct {
	ID            string
	State         string // state known to this controller
	Tasks         int
	Revision      uint64 // of the current record; 0 if there is none
	RecordedState string // state in the record; empty if there is none
}

// lostJob is what the cache keeps of a lost job in addition to its entry.
type lostJob struct {
	id            string
	recordedState string // state in the record; empty if there is none
}

// lostJobs holds, by ID, the jobs whose records are missing or behind what this controller knows.
// The cache's mutex guards it.
type lostJobs struct {
	byID          *btree.BTreeG[lostJob]
	withoutRecord int // number of jobs without a record
}

// lostTreeDegree is the degree of the B-tree.
const lostTreeDegree = 16

func newLostJobs() lostJobs {
	return lostJobs{byID: btree.NewG(lostTreeDegree, func(a, b lostJob) bool { return a.id < b.id })}
}

func (l *lostJobs) get(id string) (job lostJob, found bool) { return l.byID.Get(lostJob{id: id}) }

// add adds or replaces a lost job and returns the value that it had before, if any.
func (l *lostJobs) add(job lostJob) (previous lostJob) {
	previous = l.remove(job.id)
	l.byID.ReplaceOrInsert(job)
	if job.recordedState == "" {
		l.withoutRecord++
	}
	return previous
}

// remove removes a job that is no longer lost and returns the value that it had, if any.
func (l *lostJobs) remove(id string) (previous lostJob) {
	if l.byID.Len() == 0 {
		return lostJob{}
	}
	previous, removed := l.byID.Delete(lostJob{id: id})
	if removed && previous.recordedState == "" {
		l.withoutRecord--
	}
	return previous
}

// page returns at most limit jobs whose IDs follow after, in order of ID, and whether there are
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

// LostPage returns at most limit lost jobs whose IDs follow after, in order of ID, and whether
// there are more.
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

// IsLost reports whether the job's record is missing or behind what this controller knows.
func (c *Cache) IsLost(id string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lost.byID.Has(lostJob{id: id})
}

// LostCount returns the number of jobs whose records are missing or behind what this controller
// knows.
func (c *Cache) LostCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lost.byID.Len()
}

// RecordedCount returns the number of jobs that have a record, as far as this controller knows.
func (c *Cache) RecordedCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries.size() - c.lost.withoutRecord
}
