// Package assignmentlog implements the leader's assignment log. The log records which tasks are,
// or may be, on which machines, and which tasks of unfinished jobs are done.
//
// The log is a ring of segments, each stored under one key of the key-value store. A transaction
// overwrites the oldest segment with the new entries and carries over those of its entries that
// are still valid. One write can thus record starts and ends on many machines, and the amount
// that a new leader has to read is bounded. Segments are applied in the order of their numbers;
// a later segment overrides earlier ones.
//
// The package does no I/O: it adds writes to a transaction and processes the transaction's
// outcome. It must be used only on the leader's event loop. docs/design.md has the rationale and
// the proofs.
package assignmentlog

import (
	"fmt"
	"slices"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
)

// Prefix is the key prefix of all segments. It is kept for compatibility: an earlier version may
// lead on the same records.
const Prefix = "book/"

const (
	minSegments      = 16 // in a new log
	carryDivisor     = 8  // a segment should carry over at most 1/carryDivisor of its capacity,
	minCarriedStarts = 4  // or this many assignments if segments are small
)

// Config holds the limits on the segments and transactions of a log.
type Config struct {
	ChunkTasks int // tasks whose completions are stored in one chunk
	MaxOps     int // writes in a transaction
	ValueBytes int // maximum size of a value in the key-value store
}

// maxSegmentBytes returns the maximum size of a segment. It reserves a sixteenth for bytes that
// the size estimates omit, and lets each transaction hold two segments.
func (c Config) maxSegmentBytes() int { return min(c.ValueBytes, transaction.MaxBytes/2) * 15 / 16 }

// Log is the ring of segments and the queue of entries to be written to it.
type Log struct {
	config          Config
	segments        []*cluster.Segment // oldest first
	keys            map[string]bool    // of all segments
	newestNumber    uint64             // of the newest segment
	maxSegmentBytes int
	carriedBytes    float64 // moving average of the bytes that a segment carries over

	// unconfirmedSegments is the number of segments in the transaction that is in flight or of
	// unknown outcome. The next transaction must write these segments first, so that whichever
	// of the two is executed second fails its guards.
	unconfirmedSegments int
	outcomeUnknown      bool
	segmentsToRewrite   int // segments that may be lost and are to be written again

	queue  queue
	events []Event
}

// queue holds the entries that are to be written.
type queue struct {
	starts []*cluster.Assignment
	ends   []*cluster.Assignment
	chunks []cluster.ChunkRef
	deaths []string // machines that were judged dead
}

// EventKind states which change has become durable.
type EventKind int

// Kinds of events.
const (
	StartDurable EventKind = iota // the assignment may be sent to its worker
	EndDurable                    // the assignment may be removed
)

// Event is a change that the leader has to act on after a transaction is committed.
type Event struct {
	Kind       EventKind
	Assignment *cluster.Assignment
}

// New returns a log that has never been written.
func New(config Config) *Log {
	log := &Log{config: config, maxSegmentBytes: config.maxSegmentBytes(), keys: map[string]bool{}}
	log.addUnwrittenSegments(minSegments)
	return log
}

// QueueStart queues the start of an assignment for writing.
func (l *Log) QueueStart(assignment *cluster.Assignment) {
	l.queue.starts = append(l.queue.starts, assignment)
}

// QueueEnd queues the end of an assignment. It does nothing if the end is already queued.
func (l *Log) QueueEnd(assignment *cluster.Assignment) {
	if !assignment.Log.EndQueued {
		assignment.Log.EndQueued = true
		l.queue.ends = append(l.queue.ends, assignment)
	}
}

// QueueDeath queues the dead verdict on a machine.
func (l *Log) QueueDeath(machine string) { l.queue.deaths = append(l.queue.deaths, machine) }

// QueueCompletion queues the chunk that contains a completed task.
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

// RewriteAll marks all segments to be written again from memory. It is called when stored segments
// may have been lost; the leader's entries are authoritative.
func (l *Log) RewriteAll() { l.segmentsToRewrite = len(l.segments) }

// HasNewEntries reports whether new entries are queued.
func (l *Log) HasNewEntries() bool {
	return len(l.queue.starts)+len(l.queue.ends)+len(l.queue.chunks)+len(l.queue.deaths) > 0
}

// HasWork reports whether any segment has to be written, with or without new entries.
func (l *Log) HasWork() bool {
	return l.unconfirmedSegments > 0 || l.segmentsToRewrite > 0 || l.HasNewEntries()
}

// QueueLength returns the number of queued starts, ends and chunks.
func (l *Log) QueueLength() int {
	return len(l.queue.starts) + len(l.queue.ends) + len(l.queue.chunks)
}

// Segments returns the ring, oldest segment first. The caller must not modify it.
func (l *Log) Segments() []*cluster.Segment { return l.segments }

// WrittenSegments returns the number of segments that exist in the key-value store.
func (l *Log) WrittenSegments() (written int) {
	for _, segment := range l.segments {
		if segment.Revision != 0 {
			written++
		}
	}
	return written
}

// UnconfirmedSegments returns the number of segments that must be written before anything else
// because an earlier transaction may have written them.
func (l *Log) UnconfirmedSegments() int { return l.unconfirmedSegments }

// OutcomeUnknown reports whether an earlier transaction may still be executed.
func (l *Log) OutcomeUnknown() bool { return l.outcomeUnknown }

// MarkOutcomeUnknown records that the last transaction may have been executed or may still be.
func (l *Log) MarkOutcomeUnknown() { l.outcomeUnknown = true }

// ShrinkSegments halves the maximum segment size. It may be called only after a transaction was
// rejected for its size and has certainly not been executed.
func (l *Log) ShrinkSegments() {
	l.unconfirmedSegments = 0
	l.maxSegmentBytes = max(l.maxSegmentBytes/2, 2*typicalStartBytes)
}

// TakeEvents returns the events since the last call, in order.
func (l *Log) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

// Grow adds up to maxAdded segments to the ring while segments carry over too much. The ring does not
// grow while the outcome of a transaction is unknown: the segments in it must be the next to be
// written. An unwritten segment counts as the oldest and is therefore written next.
func (l *Log) Grow(maxAdded int) {
	limit := float64(max(l.maxSegmentBytes/carryDivisor, minCarriedStarts*typicalStartBytes))
	for ; l.unconfirmedSegments == 0 && l.carriedBytes > limit && maxAdded > 0; maxAdded-- {
		unwritten := 0
		for unwritten < len(l.segments) && l.segments[unwritten].Revision == 0 {
			unwritten++
		}
		l.segments = slices.Insert(l.segments, unwritten, l.unwrittenSegment())
		l.carriedBytes *= float64(len(l.segments)-1) / float64(len(l.segments))
	}
}

// unwrittenSegment returns a new segment under the first unused key. Keys must leave no gaps:
// version 0.3.0 derives the key of the next segment from the length of the ring.
func (l *Log) unwrittenSegment() *cluster.Segment {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s%d", Prefix, i); !l.keys[key] {
			l.keys[key] = true
			return cluster.NewSegment(key, 0)
		}
	}
}

func (l *Log) addUnwrittenSegments(count int) {
	for range count {
		l.segments = append(l.segments, l.unwrittenSegment())
	}
}

// rotate makes the segments that were just written the newest of the ring.
func (l *Log) rotate(written int) {
	l.newestNumber += uint64(written)
	l.segments = append(l.segments[written:], l.segments[:written]...)
	l.unconfirmedSegments, l.outcomeUnknown = 0, false
	l.segmentsToRewrite = max(0, l.segmentsToRewrite-written)
}
