package cluster

import "slices"

// Segment is one segment of the assignment log, and what stands on it that may still be true.
type Segment struct {
	Key         string
	Revision    uint64 // 0 if it was never written
	Bytes       int    // as stored
	Begun       map[uint64]*Assignment
	Completions map[ChunkRef]bool
}

// NewSegment makes a segment on which nothing stands.
func NewSegment(key string, revision uint64) *Segment {
	return &Segment{Key: key, Revision: revision, Begun: map[uint64]*Assignment{}, Completions: map[ChunkRef]bool{}}
}

// SortedAttempts returns the attempts of some assignments in ascending order.
func SortedAttempts(assignments map[uint64]*Assignment) []uint64 {
	attempts := make([]uint64, 0, len(assignments))
	for attempt := range assignments {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	return attempts
}
