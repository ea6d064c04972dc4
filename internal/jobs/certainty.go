package jobs

import (
	"context"
	"errors"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// What a node may conclude from its cache:
//
//   - Suspected: something shows that records are lost. What is not known may have been
//     accepted; what is known is answered.
//   - Sure: what is not known was never accepted. A node that has just begun becomes sure when
//     a reading, begun after all others (or the leader) told how many jobs they know, has as
//     many.
//     After an outage of the state service, in which that may have been put back, all others
//     are asked once more (Confirm).
//   - Settled: moreover, what is unfinished by its record was not told to be over by anybody. It
//     is not so while records are compared that were lost before this node began, nor after
//     the service was put back.

// ErrUncertain means that a job is not known, but that records may be missing: it may
// have been accepted all the same.
var ErrUncertain = errors.New("records may be missing")

// RecoveryStatusKey is there while a leader compares what the state service has with what
// others know. A node that starts meanwhile did not see what was lost.
const RecoveryStatusKey = "recovery/status"

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
	m.losses.confirmed = m.store.Outages()
}

// Confirm notes that, after a number of outages, no other node knew of a newer revision than
// the state service.
func (m *Cache) Confirm(outages uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.confirmed = max(m.losses.confirmed, outages)
}

// Confirmed tells whether that is so since the last outage.
func (m *Cache) Confirmed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.confirmedLocked()
}

func (m *Cache) confirmedLocked() bool { return m.losses.confirmed == m.store.Outages() }

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
	return m.losses.sure && !m.losses.compared && m.confirmedLocked() && !time.Now().Before(m.losses.suspectUntil)
}

// tell hands on evidence. No lock may be held.
func (m *Cache) tell(l detection.Evidence) {
	m.Suspect(time.Now().Add(m.doubtFor))
	if m.OnLoss != nil {
		m.OnLoss(l)
	}
}

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
		m.tell(detection.Evidence{Kind: detection.RecordMissing, Known: uint64(expected), Found: uint64(known)})
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

// becomingSure tells whether the next reading may make this node sure of what it knows.
func (m *Cache) becomingSure() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.heard && !m.losses.sure
}

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

// Listed tells whether this node has read all records since it began.
func (m *Cache) Listed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed
}
