// Package detection decides what tells that the state service has lost records. It does no
// I/O and reads no clock: callers hand in what they have seen.
package detection

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kind is what was noticed.
type Kind string

// The kinds of evidence. Each is something that no version of ours ever brings about.
const (
	RecordRemoved        Kind = "record removed"         // a watch shows the removal of a job's record
	RecordMissing        Kind = "record missing"         // a read lacks a record that this node knows
	RecordOlder          Kind = "record older"           // a record says less than this node knows
	RecordContradicts    Kind = "record contradicts"     // a record has another end than this node knows
	RevisionBack         Kind = "revision back"          // the service's revision is below one that was read
	TokenBack            Kind = "token back"             // the token is below one that was given out
	HolderLost           Kind = "holder key lost"        // the term's key is gone while its lease lives
	SegmentMissing       Kind = "segment missing"        // a hole in the ring of the assignment log
	SegmentUnreadable    Kind = "segment unreadable"     // a segment that is not one
	SegmentOlder         Kind = "segment not as written" // a segment at another revision than the leader wrote
	TaskUnknown          Kind = "task of an unknown job" // a worker has a task of a job without a record
	ReportedByPeer       Kind = "a peer knows of a loss" // another controller has noticed something
	NoticedByPredecessor Kind = "noticed by an earlier leader"
	Imported             Kind = "snapshot knows more" // an imported snapshot has a job without a record
)

// AffectsLog tells whether segments of the assignment log may be missing too: then the
// records do not tell any more what may be running.
func (k Kind) AffectsLog() bool {
	switch k {
	case RevisionBack, SegmentMissing, SegmentUnreadable, SegmentOlder, TokenBack:
		return true
	}
	return false
}

// Evidence is one piece of evidence.
type Evidence struct {
	Kind  Kind
	Key   string // of the record, or the job's id
	Known uint64 // revision, token or number that was seen before
	Found uint64 // what is there now
}

func (l Evidence) String() string {
	s := string(l.Kind)
	if l.Key != "" {
		s += " " + l.Key
	}
	if l.Known != 0 || l.Found != 0 {
		s += fmt.Sprintf(" (known %d, found %d)", l.Known, l.Found)
	}
	return s
}

// Segment is a segment of the assignment log as it was read.
type Segment struct {
	Key    string
	Number uint64
	Broken bool // could not be read
}

// CheckRing looks for holes in the ring of segments. Names are given out without gaps
// from 0, and each transaction replaces the segment of the lowest number by that of the
// next, so that the numbers of a whole ring have no gaps either.
func CheckRing(prefix string, segments []Segment) (found []Evidence) {
	names := map[int]bool{}
	var numbers []uint64
	for _, s := range segments {
		if name, err := strconv.Atoi(strings.TrimPrefix(s.Key, prefix)); err == nil {
			names[name] = true
		}
		if s.Broken {
			found = append(found, Evidence{Kind: SegmentUnreadable, Key: s.Key})
			continue
		}
		numbers = append(numbers, s.Number)
	}
	// As many names as there are segments; a hole means that a later name is there.
	for name := range len(names) {
		if !names[name] {
			found = append(found, Evidence{Kind: SegmentMissing, Key: prefix + strconv.Itoa(name)})
		}
	}
	slices.Sort(numbers)
	for i := 1; i < len(numbers); i++ {
		if before, after := numbers[i-1], numbers[i]; after > before+1 {
			found = append(found, Evidence{Kind: SegmentMissing, Key: prefix, Known: before + 1, Found: after})
		}
	}
	return found
}

// TokenOfAttempt returns the token that an attempt's number was made of.
func TokenOfAttempt(attempt uint64, attemptBits int) uint64 { return attempt >> attemptBits }

// maxTokenLead bounds how far a token that a worker shows may be ahead: no fleet raises its
// token so often. What is beyond it is no token of ours.
const maxTokenLead = 1 << 32

// PlausibleToken tells whether a token that a worker shows may have been given out here.
func PlausibleToken(shown, own uint64) bool { return shown-min(shown, own) < maxTokenLead }

// Summary counts evidence by kind, in the order of the kinds' names.
func Summary(all []Evidence) string {
	counts := map[Kind]int{}
	for _, l := range all {
		counts[l.Kind]++
	}
	kinds := make([]Kind, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int { return cmp.Compare(a, b) })
	var parts []string
	for _, k := range kinds {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}
