// Package assignmentlog keeps the leader's assignment log: which tasks are, or may be, on which
// machines, and which tasks of unfinished jobs are done.
//
// The log is a ring of segments, each a key of the key-value store. A transaction writes what
// is new over the oldest segment and carries over what is still true of that: so one change
// holds the starts and ends of many machines, and what a new leader has to read is bounded.
// Read in the order of their numbers, later segments overrule earlier ones.
//
// The package does no I/O: it adds writes to a transaction, and takes in its outcome. All of it
// belongs to the leader's event loop. docs/design.md has the reasons and the proofs.
package assignmentlog

import (
	"fmt"
	"slices"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
)

// Prefix is that of the segments' keys. The name is that of earlier versions, which may lead
// on the same records.
const Prefix = "book/"

const (
	minSegments      = 16 // of a new log
	carryShare       = 8  // a segment is meant to carry over at most one part in so many of what it can hold,
	minCarriedStarts = 4  // or this many assignments, where segments are small
)

// Config is the limits that a log is written within.
type Config struct {
	ChunkTasks int // tasks whose completions are kept together
	MaxOps     int // changes in a transaction
	ValueBytes int // of a value in the key-value store
}

// maxSegmentBytes leaves a sixteenth for what the sizes do not count, and room in each
// transaction for two segments.
func (c Config) maxSegmentBytes() int { return min(c.ValueBytes, transaction.MaxBytes/2) * 15 / 16 }

// Log is the ring of segments, and what waits to be written to it.
type Log struct {
	config          Config
	segments        []*cluster.Segment // the oldest first
	keys            map[string]bool    // of all segments
	number          uint64             // of the newest segment
	maxSegmentBytes int
	carriedBytes    float64 // what segments have carried over lately, a moving average

	// The transaction under way or of unknown outcome: its segments have to be the next
	// ones written again, so that whichever transaction comes second fails by its guards.
	unsettledSegments int
	outcomeUnknown    bool
	rewriteSegments   int // segments that may be lost, to be written once more

	queue  queue
	events []Event
}

// queue is what waits to be written.
type queue struct {
	begins []*cluster.Assignment
	ends   []*cluster.Assignment
	chunks []cluster.ChunkRef
	deaths []string // machines judged dead
}

// EventKind is what has become durable.
type EventKind int

// The kinds.
const (
	BeginDurable EventKind = iota // the worker may hear of the assignment
	EndDurable                    // the assignment may be forgotten
)

// Event is what the leader has to act on, once a transaction is committed.
type Event struct {
	Kind       EventKind
	Assignment *cluster.Assignment
}

// New makes a log that was never written.
func New(config Config) *Log {
	log := &Log{config: config, maxSegmentBytes: config.maxSegmentBytes(), keys: map[string]bool{}}
	log.addMissingSegments(minSegments)
	return log
}

// QueueBegin queues a new assignment to be written.
func (l *Log) QueueBegin(assignment *cluster.Assignment) {
	l.queue.begins = append(l.queue.begins, assignment)
}

// QueueEnd queues an assignment that is over. It may be queued already.
func (l *Log) QueueEnd(assignment *cluster.Assignment) {
	if !assignment.Log.EndQueued {
		assignment.Log.EndQueued = true
		l.queue.ends = append(l.queue.ends, assignment)
	}
}

// QueueDeath queues a machine that was judged dead.
func (l *Log) QueueDeath(machine string) { l.queue.deaths = append(l.queue.deaths, machine) }

// QueueCompletion queues the completion of a task, with all others of its chunk.
func (l *Log) QueueCompletion(job *cluster.Job, task int) {
	l.queueChunk(cluster.ChunkRef{Job: job, Index: task / l.config.ChunkTasks})
}

func (l *Log) queueChunk(ref cluster.ChunkRef) {
	chunk := ref.Job.Completions.Chunks[ref.Index]
	if chunk == nil {
		chunk = &cluster.Chunk{}
		ref.Job.Completions.Chunks[ref.Index] = chunk
	}
	chunk.Saved = false
	if !chunk.Dirty {
		chunk.Dirty = true
		l.queue.chunks = append(l.queue.chunks, ref)
	}
}

// RewriteAll has all segments written once more: some of them may be lost, and what the leader
// holds is the truth.
func (l *Log) RewriteAll() { l.rewriteSegments = len(l.segments) }

// HasNews tells whether there is anything new to be written.
func (l *Log) HasNews() bool {
	return len(l.queue.begins)+len(l.queue.ends)+len(l.queue.chunks)+len(l.queue.deaths) > 0
}

// HasWork tells whether anything is to be written, new or not.
func (l *Log) HasWork() bool { return l.unsettledSegments > 0 || l.rewriteSegments > 0 || l.HasNews() }

// QueueLength is how many begins, ends and chunks wait to be written.
func (l *Log) QueueLength() int {
	return len(l.queue.begins) + len(l.queue.ends) + len(l.queue.chunks)
}

// Segments returns the ring, the oldest segment first. The caller must not change it.
func (l *Log) Segments() []*cluster.Segment { return l.segments }

// WrittenSegments is how many segments stand in the key-value store.
func (l *Log) WrittenSegments() (written int) {
	for _, segment := range l.segments {
		if segment.Revision != 0 {
			written++
		}
	}
	return written
}

// UnsettledSegments is how many segments have to be written before all else, as an earlier
// transaction may have written them.
func (l *Log) UnsettledSegments() int { return l.unsettledSegments }

// OutcomeUnknown tells whether an earlier transaction may still be executed.
func (l *Log) OutcomeUnknown() bool { return l.outcomeUnknown }

// MarkOutcomeUnknown notes that the last transaction may have been executed, or may be later.
func (l *Log) MarkOutcomeUnknown() { l.outcomeUnknown = true }

// ShrinkSegments makes segments smaller after a transaction was rejected for its size, and was
// certainly not executed.
func (l *Log) ShrinkSegments() {
	l.unsettledSegments = 0
	l.maxSegmentBytes = max(l.maxSegmentBytes/2, 2*usualStartBytes)
}

// TakeEvents returns what has become durable since the last call, in order.
func (l *Log) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

// Grow makes the ring longer where segments carry over too much, by a given number at most. An
// unwritten segment counts as the oldest and is written next. While the outcome of a
// transaction is unknown the ring stays: the segments that it wrote must be the next again.
func (l *Log) Grow(most int) {
	limit := float64(max(l.maxSegmentBytes/carryShare, minCarriedStarts*usualStartBytes))
	for ; l.unsettledSegments == 0 && l.carriedBytes > limit && most > 0; most-- {
		unwritten := 0
		for unwritten < len(l.segments) && l.segments[unwritten].Revision == 0 {
			unwritten++
		}
		l.segments = slices.Insert(l.segments, unwritten, l.unwrittenSegment())
		l.carriedBytes *= float64(len(l.segments)-1) / float64(len(l.segments))
	}
}

// unwrittenSegment makes a segment with the first key that is free. Keys leave no gaps, as
// version 0.3.0 names the next segment by the length of the ring.
func (l *Log) unwrittenSegment() *cluster.Segment {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s%d", Prefix, i); !l.keys[key] {
			l.keys[key] = true
			return cluster.NewSegment(key, 0)
		}
	}
}

func (l *Log) addMissingSegments(count int) {
	for range count {
		l.segments = append(l.segments, l.unwrittenSegment())
	}
}

// rotate makes the segments just written the newest.
func (l *Log) rotate(written int) {
	l.number += uint64(written)
	l.segments = append(l.segments[written:], l.segments[:written]...)
	l.unsettledSegments, l.outcomeUnknown = 0, false
	l.rewriteSegments = max(0, l.rewriteSegments-written)
}
