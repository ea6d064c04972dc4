package jobs

import (
	"maps"
	"strings"

	"ospreyslip/internal/recovery/detection"
)

// The leader tells the others of each change of a record that its watch has shown. A node that
// has not read it yet keeps it apart, as its own watch may show older changes first. Whatever is
// not in the records when it has read all changes up to a later moment was lost.

// heardJob is what a record had come to say.
type heardJob struct {
	state string
	tasks int
}

// Hear takes in what a job's record has come to say, as the leader tells.
func (m *Cache) Hear(id, state string, tasks int) {
	text := stateText(state)
	if !ValidID(id) || text == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.jobs.get(id)
	if found && (known.state != Queued || text == Queued) {
		return // nothing new: knowledge only grows
	}
	if earlier, had := m.heard[id]; had && earlier.state != Queued {
		return
	}
	m.heard[strings.Clone(id)] = heardJob{text, tasks}
}

// NeverAccepted tells whether a job that this node does not know was certainly never accepted.
func (m *Cache) NeverAccepted(id string) bool {
	m.mu.RLock()
	_, heard := m.heard[id]
	m.mu.RUnlock()
	return !heard && m.Sure()
}

// seen takes in that a record says what was heard of it. The lock is held.
func (m *Cache) seen(id string, now brief) {
	if h, heard := m.heard[id]; heard && (now.state == h.state || now.state != Queued) {
		delete(m.heard, id)
	}
}

// heardBy returns what was heard by now, and is not in the records as they were read.
func (m *Cache) heardBy() map[string]heardJob {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.heard)
}

// missHeard takes in that all changes have been read up to a moment after some were heard of:
// those that the records do not show were lost.
func (m *Cache) missHeard(by map[string]heardJob) {
	var first *detection.Evidence
	m.mu.Lock()
	for id, h := range by {
		if m.heard[id] != h {
			continue
		}
		delete(m.heard, id)
		known, found := m.jobs.get(id)
		m.jobs.set(id, brief{state: h.state, tasks: h.tasks, revision: known.revision})
		if h.state != Queued {
			delete(m.unfinished, id)
		}
		kind, text := detection.RecordMissing, ""
		if found && known.revision != 0 {
			kind, text = detection.RecordOlder, known.state
		}
		m.note(lostEntry{id, text})
		first = &detection.Evidence{Kind: kind, Key: RecordKey(id), Found: known.revision}
	}
	m.mu.Unlock()
	if first != nil {
		m.tell(*first)
	}
}
