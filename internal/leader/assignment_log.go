package leader

import (
	"fmt"
	"ospreyslip/internal/leader/cluster"
	"slices"
)

// logPrefix holds the leader's assignment log: which tasks are, or may be, on which
// machines, and which tasks of unfinished jobs are done.
//
// The log is a ring of segments. A transaction writes what is new over the oldest
// segment and carries along what is still true of that: so one change holds the
// starts and ends of many machines, and what a new leader has to read is bounded.
// Read in the order of their numbers, later segments overrule earlier ones.
//
// The keys' name is that of earlier versions, which may lead on the same records.
const logPrefix = "book/"

const (
	leastSegments = 16 // segments of a new log
	carryShare    = 8  // a segment is meant to carry no more than such a part of what it can hold
	leastCarry    = 4  // or this many assignments, where segments are small
)

// assignmentLog is the ring of segments, the oldest first, and what waits to be written.
type assignmentLog struct {
	segments []*cluster.Segment
	keys     map[string]bool // of all segments
	number   uint64          // of the newest segment
	most     int             // bytes on a segment
	carry    float64         // what segments have carried along lately, in bytes
	again    int             // segments that the next transaction has to write once more
	open     bool            // the outcome of an earlier transaction is not known
	rewrite  int             // segments to be written once more, as they may be lost

	begins []*cluster.Assignment // to be written
	ends   []*cluster.Assignment
	chunks []cluster.ChunkRef
	deaths []string
}

// end queues an assignment that is over.
func (k *assignmentLog) end(a *cluster.Assignment) {
	if !a.Log.EndQueued {
		a.Log.EndQueued = true
		k.ends = append(k.ends, a)
	}
}

// news tells whether there is anything new to be written.
func (k *assignmentLog) news() bool {
	return len(k.begins)+len(k.ends)+len(k.chunks)+len(k.deaths) > 0
}

// waiting tells whether anything is to be written.
func (k *assignmentLog) waiting() bool { return k.again > 0 || k.rewrite > 0 || k.news() }

// blank makes a segment that was never written. Names leave no gaps, as a version
// before this one names the next segment by the length of the ring.
func (k *assignmentLog) blank() *cluster.Segment {
	if k.keys == nil {
		k.keys = map[string]bool{}
	}
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s%d", logPrefix, i); !k.keys[key] {
			k.keys[key] = true
			return cluster.NewSegment(key, 0)
		}
	}
}

// grow makes the ring longer where segments carry too much. An empty segment is the
// oldest: it is written next. While the outcome of a transaction is open the
// segments that it wrote must be the next again.
func (k *assignmentLog) grow(most int) {
	limit := float64(max(k.most/carryShare, leastCarry*usualBytes))
	for ; k.again == 0 && k.carry > limit && most > 0; most-- {
		blank := 0
		for blank < len(k.segments) && k.segments[blank].Revision == 0 {
			blank++
		}
		k.segments = slices.Insert(k.segments, blank, k.blank())
		k.carry *= float64(len(k.segments)-1) / float64(len(k.segments))
	}
}

// rotate makes the segments just written the newest.
func (k *assignmentLog) rotate(n int) {
	k.number += uint64(n)
	k.segments = append(k.segments[n:], k.segments[:n]...)
	k.again, k.open = 0, false
	k.rewrite = max(0, k.rewrite-n)
}
