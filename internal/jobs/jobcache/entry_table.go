package jobcache

import (
	"fmt"
	"strings"

	"ospreyslip/internal/jobs"
)

// brief is what a poll needs of a job's record.
type brief struct {
	state    string
	tasks    int
	revision uint64 // of the record
}

// briefTable holds a brief of every job there ever was. Records are never removed, so
// that this is what a node's memory grows by: a job takes two words where its id and
// its brief fit into them, as mostly all do.
type briefTable struct {
	packed map[uint64]uint64
	other  map[string]brief
}

func newBriefTable() briefTable {
	return briefTable{packed: map[uint64]uint64{}, other: map[string]brief{}}
}

// Layout of the two words: the digits of an id as a number over how many there are,
// and the revision over tasks and state.
const (
	mostDigits   = 16 // 10^16 takes 54 bits
	lengthBits   = 5
	stateBits    = 2
	taskBits     = 17
	mostTasks    = 1<<taskBits - 1
	mostRevision = 1<<(64-taskBits-stateBits) - 1
	idPrefix     = "j-"
)

// storedStates are numbered by their place; a record of none of them counts as no state.
var storedStates = [...]string{jobs.Queued, jobs.Done, jobs.Cancelled, ""}

// packID returns an id as one word, if it fits.
func packID(id string) (key uint64, ok bool) {
	digits, isJob := strings.CutPrefix(id, idPrefix)
	if !isJob || len(digits) == 0 || len(digits) > mostDigits {
		return 0, false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return 0, false
		}
		key = key*10 + uint64(digits[i]-'0')
	}
	return key<<lengthBits | uint64(len(digits)), true
}

// pack returns a brief as one word, if it fits.
func (b brief) pack() (word uint64, ok bool) {
	if b.tasks < 0 || b.tasks > mostTasks || b.revision > mostRevision {
		return 0, false
	}
	for i, s := range storedStates {
		if s == b.state {
			return b.revision<<(taskBits+stateBits) | uint64(b.tasks)<<stateBits | uint64(i), true
		}
	}
	return 0, false
}

func unpack(word uint64) brief {
	return brief{
		state:    storedStates[word&(1<<stateBits-1)],
		tasks:    int(word >> stateBits & mostTasks),
		revision: word >> (taskBits + stateBits),
	}
}

func (t *briefTable) get(id string) (b brief, found bool) {
	if key, ok := packID(id); ok {
		if word, found := t.packed[key]; found {
			return unpack(word), true
		}
	}
	b, found = t.other[id]
	return b, found
}

func (t *briefTable) set(id string, b brief) {
	key, short := packID(id)
	word, small := b.pack()
	if short && small {
		t.packed[key] = word
		delete(t.other, id)
		return
	}
	if short {
		delete(t.packed, key)
	}
	t.other[strings.Clone(id)] = b
}

// size is how many jobs there are.
func (t *briefTable) size() int { return len(t.packed) + len(t.other) }

// forgetRevisions takes in that all revisions above one are of the past: the state service
// was put back, and gives them out again.
func (t *briefTable) forgetRevisions(above uint64) {
	for key, word := range t.packed {
		if b := unpack(word); b.revision > above {
			b.revision = 0
			t.packed[key], _ = b.pack()
		}
	}
	for id, b := range t.other {
		if b.revision > above {
			b.revision = 0
			t.other[id] = b
		}
	}
}

// idSet is some of a table's jobs, in as little room.
type idSet struct {
	packed map[uint64]struct{}
	other  map[string]struct{}
}

// ids returns the set of all jobs of a table.
func (t *briefTable) ids() *idSet {
	s := &idSet{packed: make(map[uint64]struct{}, len(t.packed)), other: make(map[string]struct{}, len(t.other))}
	for key := range t.packed {
		s.packed[key] = struct{}{}
	}
	for id := range t.other {
		s.other[id] = struct{}{}
	}
	return s
}

func (s *idSet) remove(id string) {
	if key, ok := packID(id); ok {
		delete(s.packed, key)
	}
	delete(s.other, id)
}

// each hands over the ids that are left.
func (s *idSet) each(take func(id string)) {
	for key := range s.packed {
		take(unpackID(key))
	}
	for id := range s.other {
		take(id)
	}
}

// unpackID is the id of a word that packID made.
func unpackID(key uint64) string {
	length := int(key & (1<<lengthBits - 1))
	return fmt.Sprintf("%s%0*d", idPrefix, length, key>>lengthBits)
}
