package assignmentlog

import (
	"encoding/json"
	"log/slog"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
)

// AddSegments adds as many segments to the transaction as the log needs and the transaction can
// hold, oldest first. Segments of a transaction of unknown outcome are always added.
func (l *Log) AddSegments(batch *transaction.Batch, maxOps int) {
	segments := 0
	for ; segments < len(l.segments) && len(batch.Writes) < maxOps; segments++ {
		required := segments < l.unconfirmedSegments
		wanted := l.HasNewEntries() || l.segmentsToRewrite > segments
		if !required && (!wanted || batch.Bytes+l.maxSegmentBytes > transaction.MaxBytes) {
			break
		}
		l.addSegment(batch, segments, segments+1 >= l.unconfirmedSegments)
		l.unconfirmedSegments = max(l.unconfirmedSegments, segments+1)
	}
	batch.OnCommit(func(uint64) { l.rotate(segments) })
}

// addSegment adds the segment at a position counted from the oldest. The segment gets its own
// entries that are still valid, then as many queued entries as fit. If the segment is oversized,
// addSegment inserts a new one before it and writes that one.
func (l *Log) addSegment(batch *transaction.Batch, position int, withNewEntries bool) {
	if position >= l.unconfirmedSegments && l.isOversized(l.segments[position]) {
		l.segments = slices.Insert(l.segments, position, l.unwrittenSegment())
	}
	segment := l.segments[position]
	d := newSegmentDraft(l.newestNumber+uint64(position)+1, min(l.maxSegmentBytes, transaction.MaxBytes-batch.Bytes))
	l.dropEnded(batch, d, segment)
	l.carryOver(batch, d, segment, math.MaxInt)
	l.carriedBytes += (float64(d.bytes-segmentBytes) - l.carriedBytes) / float64(len(l.segments))
	l.moveFromOversized(batch, d, position)
	if withNewEntries {
		l.addQueued(batch, d)
	}
	raw, _ := json.Marshal(d.record)
	batch.Set(segment.Key, segment.Revision, raw, func(revision uint64) { segment.Revision = revision })
	batch.OnFailure(func() { l.requeue(d) })
	batch.OnCommit(func(revision uint64) {
		segment.Bytes = len(raw)
		l.segmentWritten(segment, d, revision)
	})
}

// dropEnded ends the assignments that are recorded only in this segment. Rewriting the segment
// without them is sufficient to record their ends.
func (l *Log) dropEnded(batch *transaction.Batch, draft *segmentDraft, segment *cluster.Segment) {
	for _, attempt := range cluster.SortedAttempts(segment.Assignments) {
		if a := segment.Assignments[attempt]; !a.Log.EndInFlight && l.endMayBeWritten(batch, a) {
			a.Log.EndInFlight = true
			draft.endedAssignments = append(draft.endedAssignments, a)
		}
	}
}

// carryOver adds the entries of a segment that are still valid, while the draft stays within
// maxBytes.
func (l *Log) carryOver(batch *transaction.Batch, draft *segmentDraft, segment *cluster.Segment, maxBytes int) {
	for _, attempt := range cluster.SortedAttempts(segment.Assignments) {
		a := segment.Assignments[attempt]
		switch {
		case a.Log.EndInFlight || a.Log.MoveInFlight || l.endMayBeWritten(batch, a):
		case draft.bytes+startSize(a) <= maxBytes:
			draft.addStart(a)
		}
	}
	for ref := range segment.Completions {
		chunk := ref.Job.Completions.Chunks[ref.Index]
		if chunk == nil || chunk.Segment != segment || chunk.Moving || ref.Job.IsFinished() {
			continue
		}
		bits := ref.Job.EncodeChunk(ref.Index, l.config.ChunkTasks)
		switch size := chunkSize(ref, bits); {
		case segmentBytes+size > l.maxSegmentBytes:
			chunk.Saved = false // no segment can hold it any more: see addChunks
		case draft.bytes+size <= maxBytes:
			draft.addChunk(ref, bits)
		}
	}
}

// isOversized reports whether the entries of a segment may exceed what one write can hold. This
// happens when the limits of the key-value store are lowered, or are set to be lowered. Ended
// assignments count too: if the transaction fails, their ends may have to wait for the next one.
func (l *Log) isOversized(segment *cluster.Segment) bool {
	if segment.Bytes <= l.maxSegmentBytes {
		return false
	}
	d := newSegmentDraft(0, math.MaxInt)
	for _, a := range segment.Assignments {
		if !a.Log.MoveInFlight {
			d.addStart(a)
		}
	}
	for ref := range segment.Completions {
		chunk := ref.Job.Completions.Chunks[ref.Index]
		if chunk != nil && chunk.Segment == segment && !chunk.Moving {
			d.bytes += chunkSize(ref, ref.Job.EncodeChunk(ref.Index, l.config.ChunkTasks))
		}
	}
	return d.bytes > l.maxSegmentBytes*7/8
}

// moveFromOversized moves part of the first oversized segment after position to the draft. The
// oversized segment is overwritten only once the rest of it fits. Until then it stays the oldest,
// so that the ends of the moved entries, which are in later segments, outlive it.
func (l *Log) moveFromOversized(batch *transaction.Batch, draft *segmentDraft, position int) {
	for _, segment := range l.segments[position+1 : min(position+1+l.config.MaxOps, len(l.segments))] {
		if len(segment.Assignments)+len(segment.Completions) == 0 {
			continue // never written, or of unknown outcome
		}
		if l.isOversized(segment) {
			l.movePart(batch, draft, segment)
		}
		return
	}
}

func (l *Log) movePart(batch *transaction.Batch, draft *segmentDraft, segment *cluster.Segment) {
	startsBefore, chunksBefore := len(draft.startedAssignments), len(draft.chunks)
	if l.carryOver(batch, draft, segment, draft.maxBytes/2); draft.isEmpty() {
		// A single entry may take more than half of a segment.
		l.carryOver(batch, draft, segment, draft.maxBytes)
	}
	for _, a := range draft.startedAssignments[startsBefore:] {
		a.Log.MoveInFlight = true
	}
	for _, ref := range draft.chunks[chunksBefore:] {
		ref.Job.Completions.Chunks[ref.Index].Moving = true
	}
}

// addQueued adds queued entries as far as they fit. Completions precede the ends that depend on
// them.
func (l *Log) addQueued(batch *transaction.Batch, draft *segmentDraft) {
	l.addDeaths(draft)
	l.addChunks(draft)
	l.addEnds(batch, draft)
	l.addStarts(draft)
}

func (l *Log) addDeaths(draft *segmentDraft) {
	q := &l.queue
	for len(q.deaths) > 0 && draft.fits(len(q.deaths[0])+deathBytes) {
		draft.record.Dead = append(draft.record.Dead, q.deaths[0])
		draft.bytes += len(q.deaths[0]) + deathBytes
		draft.dequeuedEntries.deaths = append(draft.dequeuedEntries.deaths, q.deaths[0])
		q.deaths = q.deaths[1:]
	}
}

func (l *Log) addChunks(draft *segmentDraft) {
	for len(l.queue.chunks) > 0 {
		ref := l.queue.chunks[0]
		chunk := ref.Job.Completions.Chunks[ref.Index]
		if !ref.Job.IsFinished() { // otherwise the job's final record replaces the chunk
			bits := ref.Job.EncodeChunk(ref.Index, l.config.ChunkTasks)
			size := chunkSize(ref, bits)
			switch {
			case segmentBytes+size > l.maxSegmentBytes:
				l.dropTooLargeChunk(ref, size)
				continue
			case !draft.fits(size):
				return
			}
			draft.addChunk(ref, bits)
			draft.dequeuedEntries.chunks = append(draft.dequeuedEntries.chunks, ref)
			// This holds if the transaction succeeds. queueChunk resets it if the transaction
			// fails or more tasks complete in the meantime.
			chunk.Saved = true
		}
		chunk.Dirty = false
		l.queue.chunks = l.queue.chunks[1:]
	}
}

// dropTooLargeChunk dequeues a chunk that is too large for any segment. The ends of its tasks are
// written once the job is finished; until then the workers keep reporting the tasks as done.
func (l *Log) dropTooLargeChunk(ref cluster.ChunkRef, size int) {
	chunk := ref.Job.Completions.Chunks[ref.Index]
	if !chunk.TooLarge {
		slog.Error("completions larger than a segment", "job", ref.Job.ID, "bytes", size, "most", l.maxSegmentBytes)
	}
	chunk.TooLarge, chunk.Dirty = true, false
	l.queue.chunks = l.queue.chunks[1:]
}

func (l *Log) addEnds(batch *transaction.Batch, draft *segmentDraft) {
	remaining := l.queue.ends[:0]
	for _, a := range l.queue.ends {
		switch {
		case a.Log.EndInFlight: // the segment is rewritten without it
			a.Log.EndQueued = false
		case draft.fits(endSize(a)) && l.endMayBeWritten(batch, a):
			a.Log.EndInFlight, a.Log.EndQueued = true, false
			if a.Log.Segment != nil {
				draft.record.Ended = append(draft.record.Ended, a.Attempt)
				draft.bytes += endSize(a)
			}
			draft.endedAssignments = append(draft.endedAssignments, a)
		default:
			remaining = append(remaining, a)
		}
	}
	clear(l.queue.ends[len(remaining):])
	l.queue.ends = remaining
}

func (l *Log) addStarts(draft *segmentDraft) {
	q := &l.queue
	for len(q.starts) > 0 && draft.fits(startSize(q.starts[0])) {
		a := q.starts[0]
		q.starts = q.starts[1:]
		if a.Outcome == cluster.Open {
			draft.addStart(a)
			draft.dequeuedEntries.starts = append(draft.dequeuedEntries.starts, a)
		}
	}
}

// endMayBeWritten reports whether an assignment has ended and its end may be written. The
// completion of its task must be durable no later than the end.
func (l *Log) endMayBeWritten(batch *transaction.Batch, assignment *cluster.Assignment) bool {
	return assignment.Outcome == cluster.Retry || assignment.Outcome == cluster.Success && l.completionSaved(batch, assignment)
}

// completionSaved reports whether the completion of the assignment's task is durable, part of the
// transaction that is being composed, or no longer needed because the job is cancelled.
func (l *Log) completionSaved(batch *transaction.Batch, assignment *cluster.Assignment) bool {
	job := assignment.Job
	if job.End.Cancelled || job.End.CompletionDurable || batch.Sets(jobs.RecordKey(job.ID)) {
		return true
	}
	chunk := job.Completions.Chunks[assignment.Index/l.config.ChunkTasks]
	return chunk != nil && chunk.Saved
}

// requeue puts the entries of a failed transaction back into the queue.
func (l *Log) requeue(draft *segmentDraft) {
	l.queue.starts = append(draft.dequeuedEntries.starts, l.queue.starts...)
	l.queue.deaths = append(draft.dequeuedEntries.deaths, l.queue.deaths...)
	for _, a := range draft.endedAssignments {
		a.Log.EndInFlight = false
		l.QueueEnd(a)
	}
	for _, a := range draft.startedAssignments {
		a.Log.MoveInFlight = false
	}
	for _, ref := range draft.chunks {
		ref.Job.Completions.Chunks[ref.Index].Moving = false
	}
	for _, ref := range draft.dequeuedEntries.chunks {
		l.queueChunk(ref)
	}
}

// segmentWritten updates the entries of a segment after it was written.
func (l *Log) segmentWritten(segment *cluster.Segment, draft *segmentDraft, revision uint64) {
	segment.Revision = revision
	clear(segment.Assignments)
	clear(segment.Completions)
	for _, a := range draft.startedAssignments {
		if a.Log.Segment != nil && a.Log.Segment != segment {
			delete(a.Log.Segment.Assignments, a.Attempt)
		}
		segment.Assignments[a.Attempt] = a
		a.Log.Segment, a.Log.MoveInFlight = segment, false
		if !a.Log.Durable {
			a.Log.Durable = true
			l.events = append(l.events, Event{StartDurable, a})
		}
	}
	for _, ref := range draft.chunks {
		segment.Completions[ref] = true
		if chunk := ref.Job.Completions.Chunks[ref.Index]; chunk != nil {
			chunk.Segment, chunk.Moving = segment, false
		}
	}
	for _, a := range draft.endedAssignments {
		if a.Log.Segment != nil {
			delete(a.Log.Segment.Assignments, a.Attempt)
		}
		l.events = append(l.events, Event{EndDurable, a})
	}
}
