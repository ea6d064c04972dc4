package detection

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind classifies evidence. Its values are shown to operators and counted in metrics.
type Kind string

// The kinds of evidence. No version of the scheduler ever causes any of them.
const (
	RecordRemoved        Kind = "record removed"         // a watch reported the removal of a job's record
	RecordMissing        Kind = "record missing"         // a read lacks a record that this controller knows
	RecordOlder          Kind = "record older"           // a record says less than this controller knows
	RecordContradicts    Kind = "record contradicts"     // a record has a different final state from the one this controller knows
	RevisionRolledBack   Kind = "revision back"          // the store's revision is lower than one read before
	TokenRolledBack      Kind = "token back"             // the fencing token is lower than one issued before
	HolderKeyLost        Kind = "holder key lost"        // the holder key is gone while its lease is alive
	SegmentMissing       Kind = "segment missing"        // the ring of the assignment log has a gap
	SegmentUnreadable    Kind = "segment unreadable"     // a segment cannot be decoded
	SegmentMismatch      Kind = "segment not as written" // a segment's revision differs from the one that the leader wrote
	TaskUnknown          Kind = "task of an unknown job" // a worker has a task of a job without a record
	ReportedByPeer       Kind = "a peer knows of a loss" // another controller has found evidence
	NoticedByPredecessor Kind = "noticed by an earlier leader"
	FoundInSnapshot      Kind = "snapshot knows more" // an imported snapshot contains a job without a record
)

// AffectsAssignmentLog reports whether segments of the assignment log may be missing too. If so,
// the stored records no longer show all tasks that may be running.
func (k Kind) AffectsAssignmentLog() bool {
	switch k {
	case RevisionRolledBack, SegmentMissing, SegmentUnreadable, SegmentMismatch, TokenRolledBack:
		return true
	}
	return false
}

// Evidence is one observation that records are lost.
type Evidence struct {
	Kind  Kind
	Key   string // key of the record, or ID of the job
	Known uint64 // revision, token or number that was observed before
	Found uint64 // revision, token or number that was read now
}

// String returns the evidence on one line, for the log.
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

// Summary returns the number of observations of each kind on one line, sorted by kind.
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
