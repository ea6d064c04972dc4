package jobcache

import (
	"fmt"
	"strings"

	"ospreyslip/internal/jobs"
)

// entry is what a poll needs of a job's record.
type entry struct {
	state    string
	tasks    int
	revision uint64 // of the record; 0 if there is none, or if it is not known any more
}

// finished tells whether the job is done or cancelled.
func (e entry) finished() bool { return e.state == jobs.Done || e.state == jobs.Cancelled }

// internedState is one copy of a state's text for all jobs; empty for what is no state.
func internedState(state string) string {
	for _, known := range storedStates {
		if known == state {
			return known
		}
	}
	return ""
}

// entryTable holds an entry of every job there ever was. Records are never removed, so that this
// is what a controller's memory grows by: a job takes two words where its id and its entry fit
// into them, as nearly all do. It is guarded by the cache's mutex.
type entryTable struct {
	packed map[uint64]uint64
	other  map[string]entry
}

func newEntryTable() entryTable {
	return entryTable{packed: map[uint64]uint64{}, other: map[string]entry{}}
}

// Layout of the two words: the digits of an id as a number over how many there are, and the
// revision over tasks and state.
const (
	maxDigits   = 16 // 10^16 takes 54 bits
	lengthBits  = 5
	stateBits   = 2
	taskBits    = 17
	maxTasks    = 1<<taskBits - 1
	maxRevision = 1<<(64-taskBits-stateBits) - 1
	idPrefix    = "j-"
)

// storedStates are numbered by their place; a record of none of them counts as no state.
var storedStates = [...]string{jobs.Queued, jobs.Done, jobs.Cancelled, ""}

// packID returns an id as one word, if it fits.
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

// unpackID is the id of a word that packID made.
func unpackID(word uint64) string {
	length := int(word & (1<<lengthBits - 1))
	return fmt.Sprintf("%s%0*d", idPrefix, length, word>>lengthBits)
}

// pack returns an entry as one word, if it fits.
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

// unpack is the entry of a word that pack made.
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
	e, found = t.other[id]
	return e, found
}

func (t *entryTable) set(id string, e entry) {
	key, idFits := packID(id)
	word, entryFits := e.pack()
	if idFits && entryFits {
		t.packed[key] = word
		delete(t.other, id)
		return
	}
	if idFits {
		delete(t.packed, key)
	}
	t.other[strings.Clone(id)] = e
}

// size is how many jobs there are.
func (t *entryTable) size() int { return len(t.packed) + len(t.other) }

// forgetRevisionsAbove takes in that all revisions above one are of the past: the store was
// rolled back, and gives them out again.
func (t *entryTable) forgetRevisionsAbove(revision uint64) {
	for key, word := range t.packed {
		if e := unpack(word); e.revision > revision {
			e.revision = 0
			t.packed[key], _ = e.pack()
		}
	}
	for id, e := range t.other {
		if e.revision > revision {
			e.revision = 0
			t.other[id] = e
		}
	}
}

// ids returns the set of all jobs of the table.
func (t *entryTable) ids() *jobSet {
	s := &jobSet{packed: make(map[uint64]struct{}, len(t.packed)), other: make(map[string]struct{}, len(t.other))}
	for key := range t.packed {
		s.packed[key] = struct{}{}
	}
	for id := range t.other {
		s.other[id] = struct{}{}
	}
	return s
}

// jobSet is some of a table's jobs, in as little room.
type jobSet struct {
	packed map[uint64]struct{}
	other  map[string]struct{}
}

func (s *jobSet) remove(id string) {
	if key, ok := packID(id); ok {
		delete(s.packed, key)
	}
	delete(s.other, id)
}

// each hands over the ids that are left.
func (s *jobSet) each(visit func(id string)) {
	for key := range s.packed {
		visit(unpackID(key))
	}
	for id := range s.other {
		visit(id)
	}
}
