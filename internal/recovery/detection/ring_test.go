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
