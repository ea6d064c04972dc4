package detection

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is what was noticed. Its values are shown to operators and counted in metrics.
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

// Evidence is one observation that tells of lost records.
type Evidence struct {
	Kind  Kind
	Key   string // of the record, or the job's id
	Known uint64 // revision, token or number that was seen before
	Found uint64 // what is there now
}

// String puts the evidence on one line, for the log.
func (e Evidence) String() string {
	text := string(e.Kind)
	if e.Key != "" {
		text += " " + e.Key
	}
	if e.Known != 0 || e.Found != 0 {
		text += fmt.Sprintf(" (known %d, found %d)", e.Known, e.Found)
	}
	return text
}

// Summary counts evidence by kind, in the order of the kinds' names.
func Summary(all []Evidence) string {
	counts := map[Kind]int{}
	for _, evidence := range all {
		counts[evidence.Kind]++
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
