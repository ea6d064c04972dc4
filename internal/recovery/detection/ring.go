package detection

import (
	"slices"
	"strconv"
	"strings"
)

// Segment is a segment of the assignment log as read from the store.
type Segment struct {
	Key        string
	Number     uint64
	Unreadable bool // the segment could not be decoded
}

// CheckRing returns evidence of gaps in the ring of segments, whose keys consist of prefix and a
// name. Names are assigned from 0 without gaps. Each transaction replaces the segment with the
// lowest number by the one with the next number, so the numbers of a complete ring have no gaps
// either.
func CheckRing(prefix string, segments []Segment) (found []Evidence) {
	names := map[int]bool{}
	var numbers []uint64
	for _, segment := range segments {
		if name, err := strconv.Atoi(strings.TrimPrefix(segment.Key, prefix)); err == nil {
			names[name] = true
		}
		if segment.Unreadable {
			found = append(found, Evidence{Kind: SegmentUnreadable, Key: segment.Key})
			continue
		}
		numbers = append(numbers, segment.Number)
	}
	// There is one name per segment. If a name below their count is unused, a later name is in
	// use, and a segment is missing.
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
