package jobcache

import (
	"fmt"
	"strings"

	"ospreyslip/internal/jobs"
)

// entry is the part of a job's record that is needed to respond to a poll.
type entry struct {
	state    string
	tasks    int
	revision uint64 // of the record; 0 if there is none or its revision is no longer known
}

// finished reports whether the job is done or cancelled.
func (e entry) finished() bool { return e.state == jobs.Done || e.state == jobs.Cancelled }

// internedState returns a copy of the state's text that all jobs share, or the empty string if
// the state is not valid in a record.
func internedState(state string) string {
	for _, known := range storedStates {
		if known == state {
			return known
		}
	}
	return ""
}

// entryTable holds an entry for every job ever accepted. Records are never removed, so the table
// determines how a controller's memory grows. A job takes two words if its ID and its entry fit
// into them, as nearly all do; other jobs are kept in a plain map. The cache's mutex guards the
// table.
type entryTable struct {
	packed   map[uint64]uint64
	unpacked map[string]entry
}

func newEntryTable() entryTable {
	return entryTable{packed: map[uint64]uint64{}, unpacked: map[string]entry{}}
}

// Layout of the two words. The first has the digits of the ID as a number in its high bits and
// their count in the low bits. The second has, from high to low, the revision, the number of
// tasks and the state.
const (
	maxDigits   = 16 // 10^16 takes 54 bits
	lengthBits  = 5
	stateBits   = 2
	taskBits    = 17
	maxTasks    = 1<<taskBits - 1
	maxRevision = 1<<(64-taskBits-stateBits) - 1
	idPrefix    = "j-"
)

// storedStates maps the packed number of a state to its text. An invalid state is stored as the
// empty string.
var storedStates = [...]string{jobs.Queued, jobs.Done, jobs.Cancelled, ""}

// packID returns an ID as one word; ok is false if it does not fit.
func packID(id string) (word uint64, ok bool) {
	digits, isJob := strings.CutPrefix(id, idPrefix)
	if !isJob || len(digits) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return 0, false
		}
		word = word*10 + uint64(digits[i]-'0')
	}
	return word<<lengthBits | uint64(len(digits)), true
}

// unpackID returns the ID that packID has encoded.
func unpackID(word uint64) string {
	length := int(word & (1<<lengthBits - 1))
	return fmt.Sprintf("%s%0*d", idPrefix, length, word>>lengthBits)
}

// pack returns an entry as one word; ok is false if it does not fit.
func (e entry) pack() (word uint64, ok bool) {
	if e.tasks < 0 || e.tasks > maxTasks || e.revision > maxRevision {
		return 0, false
	}
	for i, state := range storedStates {
		if state == e.state {
			return e.revision<<(taskBits+stateBits) | uint64(e.tasks)<<stateBits | uint64(i), true
		}
	}
	return 0, false
}

// unpack returns the entry that pack has encoded.
func unpack(word uint64) entry {
	return entry{
		state:    storedStates[word&(1<<stateBits-1)],
		tasks:    int(word >> stateBits & maxTasks),
		revision: word >> (taskBits + stateBits),
	}
}

func (t *entryTable) get(id string) (e entry, found bool) {
	if key, ok := packID(id); ok {
		if word, found := t.packed[key]; found {
			return unpack(word), true
		}
	}
	e, found = t.unpacked[id]
	return e, found
}

func (t *entryTable) set(id string, e entry) {
	key, idFits := packID(id)
	word, entryFits := e.pack()
	if idFits && entryFits {
		t.packed[key] = word
		delete(t.unpacked, id)
		return
	}
	if idFits {
		delete(t.packed, key)
	}
	t.unpacked[strings.Clone(id)] = e
}

// size returns the number of jobs.
func (t *entryTable) size() int { return len(t.packed) + len(t.unpacked) }

// forgetRevisionsAbove clears all revisions above the given one. The store was rolled back to that
// revision, and assigns the higher ones again.
func (t *entryTable) forgetRevisionsAbove(revision uint64) {
	for key, word := range t.packed {
		if e := unpack(word); e.revision > revision {
			e.revision = 0
			t.packed[key], _ = e.pack()
		}
	}
	for id, e := range t.unpacked {
		if e.revision > revision {
			e.revision = 0
			t.unpacked[id] = e
		}
	}
}

// ids returns the set of all jobs in the table.
func (t *entryTable) ids() *jobSet {
	s := &jobSet{packed: make(map[uint64]struct{}, len(t.packed)), unpacked: make(map[string]struct{}, len(t.unpacked))}
	for key := range t.packed {
		s.packed[key] = struct{}{}
	}
	for id := range t.unpacked {
		s.unpacked[id] = struct{}{}
	}
	return s
}

// jobSet is a set of job IDs that are packed as in entryTable.
type jobSet struct {
	packed   map[uint64]struct{}
	unpacked map[string]struct{}
}

func (s *jobSet) remove(id string) {
	if key, ok := packID(id); ok {
		delete(s.packed, key)
	}
	delete(s.unpacked, id)
}

// each calls visit with every ID in the set.
func (s *jobSet) each(visit func(id string)) {
	for key := range s.packed {
		visit(unpackID(key))
	}
	for id := range s.unpacked {
		visit(id)
	}
}
