package detection

import "testing"

// Checks the summary line, and which kinds of evidence affect the assignment log.
func TestSummary(t *testing.T) {
	all := []Evidence{{Kind: TokenRolledBack}, {Kind: RecordMissing, Key: "job/j-1"}, {Kind: RecordMissing, Key: "job/j-2"}}
	if got := Summary(all); got != "record missing: 2, token back: 1" {
		t.Error(got)
	}
	if RecordMissing.AffectsAssignmentLog() || !RevisionRolledBack.AffectsAssignmentLog() {
		t.Error("want a rollback of the store, but not a lost job record, to affect the assignment log")
	}
}
