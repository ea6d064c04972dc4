package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/google/btree"

	"ospreyslip/internal/loss"
	"ospreyslip/internal/state"
)

// ErrUncertain means that a job is not known, but that records may be missing: it may
// have been accepted all the same.
var ErrUncertain = errors.New("records may be missing")

// RecoveryStatusKey is there while a leader compares what the state service has with what
// others know. A node that starts meanwhile did not see what was lost.
const RecoveryStatusKey = "recovery/status"

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

// SawAll tells whether this node has read all records, and did so before any loss that it
// knows of: then a job that it does not know was not accepted before.
func (m *Cache) SawAll() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed && !m.losses.compared
}

// Suspect notes that records may be missing, until a moment: what is not known may have
// been accepted.
func (m *Cache) Suspect(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.losses.suspectUntil) {
		m.losses.suspectUntil = until
	}
}

// Compared notes that all have been compared: what nobody knows was never accepted.
func (m *Cache) Compared() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.suspectUntil = time.Time{}
	m.losses.compared = false
}

// Suspected tells whether records may be missing.
func (m *Cache) Suspected() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.compared || time.Now().Before(m.losses.suspectUntil)
}

// Sure tells whether what this node does not know was never accepted. A node that began a
// moment ago may have begun after a loss that it could not see.
func (m *Cache) Sure() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.sure && !m.losses.compared && !time.Now().Before(m.losses.suspectUntil)
}

// tell hands on evidence. No lock may be held.
func (m *Cache) tell(l loss.Loss) {
	m.Suspect(time.Now().Add(m.doubtFor))
	if m.OnLoss != nil {
		m.OnLoss(l)
	}
}

// Missing takes in that a read did not find a job's record. It tells what this node knows
// of the job.
func (m *Cache) Missing(id string) (rec Record, known bool) {
	m.mu.Lock()
	b, known := m.jobs.get(id)
	first := known && m.miss(id, b)
	m.mu.Unlock()
	if first {
		m.tell(loss.Loss{Kind: loss.RecordMissing, Key: RecordKey(id), Known: b.revision})
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
		m.tell(loss.Loss{Kind: loss.RecordRemoved, Key: key, Known: b.revision, Found: revision})
	}
}

// merge decides what a record says that differs from what is known. Knowledge only grows:
// a job that is over stays so, in the way that users were told.
func merge(known brief, found brief) (now brief, evidence loss.Kind) {
	over := known.state == Done || known.state == Cancelled
	switch {
	case !over || known.state == found.state:
		return found, ""
	case found.state == Done || found.state == Cancelled:
		return brief{known.state, known.tasks, found.revision}, loss.RecordContradicts
	}
	return brief{known.state, known.tasks, found.revision}, loss.RecordOlder
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

// Newest returns the newest revision of the state service that this node has read.
func (m *Cache) Newest() uint64 { return m.newestSeen.Load() }

// Expect takes in how many jobs another node knew. The next time that this node has read
// all changes, it must know of as many. While that node compares records, this one does not
// become sure of what it knows.
func (m *Cache) Expect(jobs int, uncertain bool) {
	m.mu.Lock()
	m.losses.expected = max(m.losses.expected, jobs)
	m.losses.heard = !uncertain
	sure := m.losses.sure
	m.mu.Unlock()
	if !sure {
		m.Check()
	}
}

// checkExpected compares what was read with what another node knew before the reading
// began. After the first such reading, this node is sure of what it does not know.
func (m *Cache) checkExpected(expected int, heard bool) {
	m.mu.Lock()
	known := m.jobs.size()
	missing := known < expected && expected > m.losses.told
	if missing {
		m.losses.told = expected
	}
	m.losses.sure = m.losses.sure || heard && known >= expected
	m.mu.Unlock()
	if missing {
		m.tell(loss.Loss{Kind: loss.RecordMissing, Known: uint64(expected), Found: uint64(known)})
	}
}

// expectation returns what other nodes knew by now.
func (m *Cache) expectation() (jobs int, heard bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.expected, m.losses.heard
}

// Settled tells whether this node has found that it began with all records there were: else
// a job that it does not know may have been lost, and one that is unfinished by its record
// may be over.
func (m *Cache) Settled() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.sure && !m.losses.compared && !m.losses.putBack
}

// PutBack takes in whether records may say less than users were told, as the leader knows.
func (m *Cache) PutBack(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.putBack = on
}

// BeSure has this node take what it does not know for never accepted, though no other node
// has told how much it knows.
func (m *Cache) BeSure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.sure = true
}

// checkRevision takes in a revision that was just read. One below those before shows that
// the service was put back: revisions are given out again, and all is read anew.
func (m *Cache) checkRevision(found uint64) (back bool) {
	l, back := m.newest.See(loss.RevisionBack, "", found)
	m.newestSeen.Store(found)
	if !back {
		return false
	}
	slog.Error("state service put back", "known", l.Known, "found", l.Found)
	m.newest.Reset(found)
	m.whole = false
	m.mu.Lock()
	m.jobs.forgetRevisions(found)
	m.losses.putBack = true // until the leader says that it is made good
	m.mu.Unlock()
	m.tell(l)
	return true
}

// listing is one reading of all records.
type listing struct {
	read  int
	older []state.Pair // records of an older revision than is known
}

// readAll reads all records once. A record is older than known if that was learnt while
// its page was on the way, or if the service was put back: only what was known before the
// reading began proves the latter.
func (m *Cache) readAll(ctx context.Context, pause time.Duration, each func(id string)) (l listing, revision uint64, err error) {
	revision, err = m.store.EachPaced(ctx, RecordPrefix, pause, func(p state.Pair) {
		l.read++
		id := IDOf(p.Key)
		each(id)
		if m.knownRevision(id) > p.Revision {
			l.older = append(l.older, p)
			return
		}
		m.set(p.Key, p.Value, p.Revision)
	})
	if err != nil {
		return l, 0, err
	}
	for _, p := range l.older {
		if m.knownRevision(IDOf(p.Key)) <= revision {
			m.forgetRevision(IDOf(p.Key))
			m.tell(loss.Loss{Kind: loss.RecordOlder, Key: p.Key, Found: p.Revision})
			m.set(p.Key, p.Value, p.Revision)
		}
	}
	return l, revision, nil
}

func (m *Cache) knownRevision(id string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, _ := m.jobs.get(id)
	return b.revision
}

func (m *Cache) forgetRevision(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ := m.jobs.get(id)
	b.revision = 0
	m.jobs.set(id, b)
}

// findMissing reads all records once more and notes each job that is known and not among
// them. It pauses between two pages. Jobs accepted since it began prove nothing.
func (m *Cache) findMissing(ctx context.Context, pause time.Duration) error {
	m.mu.RLock()
	left := m.jobs.ids()
	m.mu.RUnlock()
	_, revision, err := m.readAll(ctx, pause, left.remove)
	if err != nil {
		return err
	}
	first, count := loss.Loss{}, 0
	m.mu.Lock()
	left.each(func(id string) {
		b, known := m.jobs.get(id)
		if known && b.revision <= revision && m.miss(id, b) {
			first = loss.Loss{Kind: loss.RecordMissing, Key: RecordKey(id), Known: b.revision}
			count++
		}
	})
	m.mu.Unlock()
	if count > 0 {
		slog.Error("records missing", "jobs", count)
		m.tell(first)
	}
	return nil
}

// Audit compares all records with what this node knows, again and again.
func (m *Cache) Audit(ctx context.Context, every, pause time.Duration) {
	for every > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		if !m.SawAll() {
			continue
		}
		if err := m.findMissing(ctx, pause); err != nil {
			slog.Debug("records not audited", "reason", err)
		}
	}
}

// Verify has all records compared with what this node knows, once. Verified tells when
// that is done.
func (m *Cache) Verify() (ticket uint64) {
	m.mu.Lock()
	m.losses.wanted++
	ticket = m.losses.wanted
	m.mu.Unlock()
	m.Check()
	return ticket
}

// Verified tells whether a comparison that was asked for has been made.
func (m *Cache) Verified(ticket uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.verified >= ticket
}

// verify makes the comparisons that were asked for by now, in one.
func (m *Cache) verify(ctx context.Context) error {
	m.mu.RLock()
	wanted, verified := m.losses.wanted, m.losses.verified
	m.mu.RUnlock()
	if wanted == verified {
		return nil
	}
	if err := m.findMissing(ctx, 0); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.verified = wanted
	return nil
}

// pending tells whether a comparison is asked for.
func (m *Cache) pending() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.wanted != m.losses.verified
}

// becomingSure tells whether the next reading may make this node sure of what it knows.
func (m *Cache) becomingSure() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.heard && !m.losses.sure
}

// RecordRevision returns the revision of a job's record as this node knows it; 0 if there
// is none.
func (m *Cache) RecordRevision(id string) uint64 { return m.knownRevision(id) }

// Set takes in a record that was read or written elsewhere in this process.
func (m *Cache) Set(key string, value json.RawMessage, revision uint64) { m.set(key, value, revision) }

// readStatus finds out whether records are being compared at the moment.
func (m *Cache) readStatus(ctx context.Context) error {
	_, found, err := m.store.Get(ctx, RecoveryStatusKey)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.compared = found
	return nil
}

// Check has the cache read as soon as it may.
func (m *Cache) Check() {
	select {
	case m.asks <- make(chan error, 1):
	default: // it is reading, or about to
	}
}

// Held is a job that is not run, since it is not certain that it should be. It stands in
// a record in place of the job's description, which earlier versions would act upon.
type Held struct {
	Reason string `json:"reason"`
	Spec   *Spec  `json:"spec,omitempty"`
	AtMs   int64  `json:"atMs,omitempty"`   // time of day of its acceptance, if known
	HeldMs int64  `json:"heldMs,omitempty"` // time of day since when it is held
	// Complete tells that nothing but the description is missing.
	Complete bool `json:"complete,omitempty"`
	// Contradicts tells of a job that is over, done by one source and cancelled by another.
	Contradicts bool `json:"contradicts,omitempty"`
}

// described returns a held record with the description that was missing. If nothing else
// was, the job is held no more.
func (r *Record) described(spec *Spec) json.RawMessage {
	now := Record{State: Queued, Tasks: spec.Tasks}
	if r.Held.Complete {
		now.Spec, now.AtMs, now.Restored = spec, r.Held.AtMs, true
	} else {
		held := *r.Held
		held.Spec = spec
		now.Held = &held
	}
	raw, _ := json.Marshal(now)
	return raw
}

// Listed tells whether this node has read all records since it began.
func (m *Cache) Listed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed
}
