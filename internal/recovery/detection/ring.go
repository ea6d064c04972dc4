package detection

import (
	"slices"
	"strconv"
	"strings"
)

// Segment is a segment of the assignment log as it was read.
type Segment struct {
	Key    string
	Number uint64
	Broken bool // it could not be decoded
}

// CheckRing looks for holes in the ring of segments, whose keys are prefix and a name.
// Names are given out without gaps from 0, and each transaction replaces the segment of the
// lowest number by that of the next, so that the numbers of a whole ring have no gaps either.
func CheckRing(prefix string, segments []Segment) (found []Evidence) {
	names := map[int]bool{}
	var numbers []uint64
	for _, segment := range segments {
		if name, err := strconv.Atoi(strings.TrimPrefix(segment.Key, prefix)); err == nil {
			names[name] = true
		}
		if segment.Broken {
			found = append(found, Evidence{Kind: SegmentUnreadable, Key: segment.Key})
			continue
		}
		numbers = append(numbers, segment.Number)
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
