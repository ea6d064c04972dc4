package cluster

import "slices"

// Segment is a segment of the assignment log, with those of its contents that may still be valid.
type Segment struct {
	Key         string
	Revision    uint64 // of its key in the store; 0 if it was never written
	Bytes       int    // size as stored
	Assignments map[uint64]*Assignment
	Completions map[ChunkRef]bool
}

// NewSegment returns an empty segment.
func NewSegment(key string, revision uint64) *Segment {
	return &Segment{Key: key, Revision: revision, Assignments: map[uint64]*Assignment{}, Completions: map[ChunkRef]bool{}}
}

// SortedAttempts returns the attempt numbers of the assignments in ascending order.
func SortedAttempts(assignments map[uint64]*Assignment) []uint64 {
	attempts := make([]uint64, 0, len(assignments))
	for attempt := range assignments {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	return attempts
}
