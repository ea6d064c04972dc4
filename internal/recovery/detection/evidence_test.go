package detection

import "testing"

// Evidence is counted for one line in the log.
func TestSummary(t *testing.T) {
	all := []Evidence{{Kind: TokenBack}, {Kind: RecordMissing, Key: "job/j-1"}, {Kind: RecordMissing, Key: "job/j-2"}}
	if got := Summary(all); got != "record missing: 2, token back: 1" {
		t.Error(got)
	}
	if RecordMissing.AffectsLog() || !RevisionBack.AffectsLog() {
		t.Error("a lost record of a job says nothing of the log; a service put back does")
	}
}
