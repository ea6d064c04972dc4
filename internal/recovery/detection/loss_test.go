package detection

import (
	"fmt"
	"testing"
)

func ring(numbers ...uint64) []Segment {
	var out []Segment
	for i, n := range numbers {
		out = append(out, Segment{Key: fmt.Sprintf("book/%d", i), Number: n})
	}
	return out
}

// A ring as it is written has neither holes in its names nor in its numbers, wherever the
// oldest segment stands; one that lost a segment shows it.
func TestRingShowsHoles(t *testing.T) {
	whole := [][]Segment{nil, ring(1), ring(1, 2, 3), ring(17, 18, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)}
	whole = append(whole, ring(17, 18, 16, 15, 14)) // grown by three before the oldest came round
	for i, r := range whole {
		if found := CheckRing("book/", r); len(found) > 0 {
			t.Errorf("whole ring %d: %v", i, found)
		}
	}
	full := ring(5, 6, 7, 8, 4)
	for i := range full {
		if i == 3 || i == 4 {
			continue // see below
		}
		cut := append(append([]Segment{}, full[:i]...), full[i+1:]...)
		if found := CheckRing("book/", cut); len(found) == 0 {
			t.Errorf("segment %d is gone, and nothing shows it", i)
		}
	}
	// The newest segment shows by its name, unless that is the last one.
	if found := CheckRing("book/", append(ring(5, 6, 7), Segment{Key: "book/4", Number: 4})); len(found) != 1 {
		t.Errorf("the newest is gone: %v", found)
	}
	broken := ring(1, 2, 3)
	broken[1].Broken = true
	if found := CheckRing("book/", broken); len(found) == 0 || found[0].Kind != SegmentUnreadable {
		t.Errorf("unreadable segment: %v", found)
	}
}

// Revisions and tokens that grow tell of nothing; one that is lower does, until its
// reader has taken in that the service was put back.
func TestNumbersThatGoBack(t *testing.T) {
	var seen Watermark
	for _, n := range []uint64{0, 3, 3, 9} {
		if l, back := seen.Observe(seen.Baseline(), RevisionBack, "", n); back {
			t.Errorf("%d: %v", n, l)
		}
	}
	before := seen.Baseline()
	l, back := seen.Observe(seen.Baseline(), RevisionBack, "", 7)
	if !back || l.Known != 9 || l.Found != 7 || l.String() != "revision back (known 9, found 7)" {
		t.Errorf("7 after 9: %v %v", l, back)
	}
	if _, again := seen.Observe(before, RevisionBack, "", 7); again {
		t.Error("an answer to a request from before told of the same loss once more")
	}
	if seen.Advance(before, 9) {
		t.Error("what was asked for before the loss counts after it")
	}
	if _, back := seen.Observe(seen.Baseline(), RevisionBack, "", 8); back || seen.Value() != 8 {
		t.Error("still compared with what is lost")
	}
	asked := seen.Baseline()
	seen.Advance(asked, 5)
	seen.Advance(asked, 12)
	if l, back := seen.Observe(asked, RevisionBack, "", 11); back {
		t.Errorf("judged by what was not known when it was asked for: %v", l)
	}
	if l, back := seen.Observe(seen.Baseline(), RevisionBack, "", 11); !back || l.Known != 12 {
		t.Error("what a watch had shown was forgotten")
	}
	if PlausibleToken(1<<63, 5) || !PlausibleToken(900, 5) || !PlausibleToken(3, 5) {
		t.Error("tokens: one far ahead is none of ours, one a little ahead or behind may be")
	}
}

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
