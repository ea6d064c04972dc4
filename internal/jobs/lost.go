package jobs

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/btree"

	"ospreyslip/internal/recovery/detection"
)

// Lost is a job of which this node knows more than the state service.
type Lost struct {
	ID       string
	State    string // as this node knows it: more is known than the record says, or there is none
	Tasks    int
	Revision uint64 // of the record as it stands; 0 if there is none
	Found    string // the state that the record tells; empty if there is none
}

// losses is what a cache knows beyond the records. It is guarded by the cache's lock.
type losses struct {
	jobs         *btree.BTreeG[lostEntry] // by id
	suspectUntil time.Time
	compared     bool   // this node began while records were being compared: it saw none of what was lost
	missing      int    // of the jobs, those without a record
	wanted       uint64 // comparisons asked for
	expected     int    // jobs that another node knew
	told         int    // of expected, when that was last missed
	putBack      bool   // records may say less than users were told
	heard        bool   // another node has told how much it knows
	sure         bool   // since then, all was read: what is not known was never accepted
	verified     uint64 // comparisons made
	confirmed    uint64 // outages of the state service after which all others were asked
}

// lostEntry is what is kept of a lost job besides what is known of it.
type lostEntry struct {
	id    string
	found string // the state that its record tells; empty if there is none
}

// lossDegree is the width of the tree's nodes.
const lossDegree = 16

func newLosses() losses {
	return losses{jobs: btree.NewG(lossDegree, func(a, b lostEntry) bool { return a.id < b.id })}
}

// Known returns what this node knows of a job, however old, without a read.
func (m *Cache) Known(id string) (rec Record, found bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, found := m.jobs.get(id)
	return Record{State: b.state, Tasks: b.tasks}, found
}

// Lost returns jobs of which this node knows more than the state service, in the order of
// their ids after one, and whether there are more.
func (m *Cache) Lost(after string, most int) (page []Lost, more bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.losses.jobs.AscendGreaterOrEqual(lostEntry{id: after}, func(l lostEntry) bool {
		if l.id == after {
			return true
		}
		if len(page) == most {
			more = true
			return false
		}
		b, _ := m.jobs.get(l.id)
		page = append(page, Lost{ID: l.id, State: b.state, Tasks: b.tasks, Revision: b.revision, Found: l.found})
		return true
	})
	return page, more
}

// IsLost tells whether this node knows more of a job than the state service.
func (m *Cache) IsLost(id string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.jobs.Has(lostEntry{id: id})
}

// Recorded returns how many jobs have a record, as far as this node knows.
func (m *Cache) Recorded() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.size() - m.losses.missing
}

// LostJobs returns how many jobs this node knows more of than the state service.
func (m *Cache) LostJobs() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.jobs.Len()
}

// Missing takes in that a read did not find a job's record. It tells what this node knows
// of the job.
func (m *Cache) Missing(id string) (rec Record, known bool) {
	m.mu.Lock()
	b, known := m.jobs.get(id)
	first := known && m.miss(id, b)
	m.mu.Unlock()
	if first {
		m.tell(detection.Evidence{Kind: detection.RecordMissing, Key: RecordKey(id), Known: b.revision})
	}
	return Record{State: b.state, Tasks: b.tasks}, known
}

// miss notes that a job has no record, and whether that is news. The lock is held.
func (m *Cache) miss(id string, b brief) (news bool) {
	old, had := m.losses.jobs.Get(lostEntry{id: id})
	m.note(lostEntry{id: strings.Clone(id)})
	b.revision = 0
	m.jobs.set(id, b)
	return !had || old.found != ""
}

// note takes in a job that is lost. The lock is held.
func (m *Cache) note(l lostEntry) (was lostEntry) {
	was = m.unnote(l.id)
	m.losses.jobs.ReplaceOrInsert(l)
	if l.found == "" {
		m.losses.missing++
	}
	return was
}

// unnote takes in that a job is not lost any more. The lock is held.
func (m *Cache) unnote(id string) (was lostEntry) {
	if m.losses.jobs.Len() == 0 {
		return lostEntry{}
	}
	was, had := m.losses.jobs.Delete(lostEntry{id: id})
	if had && was.found == "" {
		m.losses.missing--
	}
	return was
}

// Removed takes in that a watch shows the removal of a record, which no version of ours
// ever removes.
func (m *Cache) Removed(key string, revision uint64) {
	id := IDOf(key)
	m.mu.Lock()
	b, known := m.jobs.get(id)
	news := !known || b.revision <= revision && m.miss(id, b)
	m.mu.Unlock()
	if news {
		m.tell(detection.Evidence{Kind: detection.RecordRemoved, Key: key, Known: b.revision, Found: revision})
	}
}

// merge decides what a record says that differs from what is known. Knowledge only grows:
// a job that is over stays so, in the way that users were told.
func merge(known brief, found brief) (now brief, evidence detection.Kind) {
	over := known.state == Done || known.state == Cancelled
	switch {
	case !over || known.state == found.state:
		return found, ""
	case found.state == Done || found.state == Cancelled:
		return brief{known.state, known.tasks, found.revision}, detection.RecordContradicts
	}
	return brief{known.state, known.tasks, found.revision}, detection.RecordOlder
}

// heldField is in the record of a job that is held, and in no other.
var heldField = []byte(`"held":`)

// describe keeps the record of a job that is not over. The lock is held.
func (m *Cache) describe(id string, now brief, value json.RawMessage) {
	switch {
	case now.state != Queued:
		delete(m.unfinished, id)
	case !bytes.Contains(value, heldField):
		m.unfinished[strings.Clone(id)] = bytes.Clone(value)
	}
}

// Unfinished returns the record of a job that is not over, as this node last saw it; nil if
// there is none.
func (m *Cache) Unfinished(id string) json.RawMessage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.unfinished[id]
}

// Jobs returns how many jobs this node knows.
func (m *Cache) Jobs() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.size()
}

// Learn takes in a lost job that others know of and this node does not.
func (m *Cache) Learn(id, state string, tasks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, known := m.jobs.get(id)
	if known && (b.state == Done || b.state == Cancelled || b.state == state) {
		return
	}
	revision := b.revision
	now := brief{state: state, tasks: max(b.tasks, tasks), revision: revision}
	m.jobs.set(id, now)
	found := ""
	if revision != 0 {
		found = b.state
	}
	m.note(lostEntry{strings.Clone(id), found})
	if state == Cancelled {
		m.remember(Cancellation{id, revision})
	}
}

// RecordRevision returns the revision of a job's record as this node knows it; 0 if there
// is none.
func (m *Cache) RecordRevision(id string) uint64 { return m.knownRevision(id) }

// Set takes in a record that was read or written elsewhere in this process.
func (m *Cache) Set(key string, value json.RawMessage, revision uint64) { m.set(key, value, revision) }
