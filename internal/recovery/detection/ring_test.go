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

// Checks that CheckRing finds no gap in a complete ring, wherever its oldest segment is, and finds
// the gap if a segment is lost.
func TestCheckRingFindsGaps(t *testing.T) {
	complete := [][]Segment{nil, ring(1), ring(1, 2, 3), ring(17, 18, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)}
	complete = append(complete, ring(17, 18, 16, 15, 14)) // three segments were added before the oldest one was replaced
	for i, r := range complete {
		if found := CheckRing("book/", r); len(found) > 0 {
			t.Errorf("complete ring %d: found %v", i, found)
		}
	}
	full := ring(5, 6, 7, 8, 4)
	for i := range full {
		if i == 3 || i == 4 {
			continue // 3, the newest, is checked below; losing 4, with the highest name and lowest number, leaves no gap
		}
		remaining := append(append([]Segment{}, full[:i]...), full[i+1:]...)
		if found := CheckRing("book/", remaining); len(found) == 0 {
			t.Errorf("no evidence that segment %d is missing", i)
		}
	}
	// A missing newest segment is shown by the gap in the names, unless it has the highest name.
	if found := CheckRing("book/", append(ring(5, 6, 7), Segment{Key: "book/4", Number: 4})); len(found) != 1 {
		t.Errorf("the newest segment is missing: found %v, want one gap", found)
	}
	broken := ring(1, 2, 3)
	broken[1].Unreadable = true
	if found := CheckRing("book/", broken); len(found) == 0 || found[0].Kind != SegmentUnreadable {
		t.Errorf("unreadable segment: found %v", found)
	}
}
