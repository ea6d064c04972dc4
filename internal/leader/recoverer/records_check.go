package recoverer

import (
	"context"
	"strings"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// This file looks at what a new leader reads, in the order in which it does, and at segments
// of the assignment log that it writes later.

// ReadControlKeys reads what earlier leaders have left: whether one of them was recovering
// records, and how many segments the assignment log had. It blocks for a request, and is called
// before the event loop begins.
func (r *Recoverer) ReadControlKeys(ctx context.Context, now time.Time) error {
	earlier, err := r.keys.read(ctx)
	if err != nil {
		return err
	}
	if earlier != nil {
		if earlier.Log {
			r.adoption.expectUnloggedTasks(now)
		}
		r.ReportLoss(detection.Evidence{Kind: detection.NoticedByPredecessor, Known: earlier.Token}, now)
	}
	if r.phase == Whole && (r.cfg.Cache.Readiness.LossSuspected() || r.cfg.Cache.LostCount() > 0) {
		// Something was noticed while nobody led.
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.NoticedByPredecessor}, now)
	}
	return nil
}

// CheckLog looks for holes in the assignment log that a new leader has read.
func (r *Recoverer) CheckLog(log []assignmentlog.StoredSegment, now time.Time) {
	var segments []detection.Segment
	for _, stored := range log {
		segments = append(segments, detection.Segment{Key: stored.Key, Number: stored.Record.Number, Broken: stored.Unreadable})
	}
	if len(log) < r.keys.logSize {
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.SegmentMissing, Key: assignmentlog.Prefix, Known: uint64(r.keys.logSize), Found: uint64(len(log))}, now)
	}
	for _, loss := range detection.CheckRing(assignmentlog.Prefix, segments) {
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(loss, now)
	}
	newest := newestAttempt(log)
	r.cfg.Leader.ReserveAttempts(newest)
	if token, own := detection.TokenOfAttempt(newest, r.cfg.AttemptBits), r.cfg.token(); token > own {
		r.adoption.expectUnloggedTasks(now)
		r.cfg.Leader.RaiseTokenAbove(token)
		r.ReportLoss(detection.Evidence{Kind: detection.TokenBack, Key: election.TokenKey, Known: token, Found: own}, now)
	}
}

// newestAttempt is the highest number of an attempt that a log names.
func newestAttempt(log []assignmentlog.StoredSegment) (newest uint64) {
	for _, stored := range log {
		for _, machine := range stored.Record.Begun {
			for _, task := range machine.Tasks {
				newest = max(newest, task.Attempt)
			}
		}
	}
	return newest
}

// RecordCounts is how many job records there are.
type RecordCounts struct {
	Known int // to this node, before it read them
	Read  int
}

// CheckRecords compares the records that a new leader has read with what this node knew
// before, and with the jobs that the log names; isOver tells which of those are over by their
// records. No record is ever removed.
func (r *Recoverer) CheckRecords(counts RecordCounts, log []assignmentlog.StoredSegment, isOver func(id string) bool, now time.Time) {
	if counts.Read < counts.Known {
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Known: uint64(counts.Known), Found: uint64(counts.Read)}, now)
	}
	for id := range assignmentlog.JobsNamed(log) {
		if !isOver(id) && r.cfg.State.Jobs[id] == nil && !r.held.contains(id) {
			r.adoption.expectUnloggedTasks(now)
			r.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: jobs.RecordKey(id)}, now)
		}
	}
}

// AddLoggedTask takes in a task of a job without a record. That it has no place in the log
// any more is made good when the job's record is back: workers show what they have of it.
func (r *Recoverer) AddLoggedTask(task assignmentlog.TaskRecord) {
	if !r.held.contains(task.Job) {
		r.knowledge.lost.Merge(task.Job, recovery.Attribute(recovery.FromLog, recovery.Knowledge{MinTasks: task.Index + 1}))
	}
}

// CheckSegment looks at a key whose revision was not as this leader wrote it. Without a
// transaction of unknown outcome, only a loss explains that of a segment.
func (r *Recoverer) CheckSegment(key string, found kvstore.KeyValue) {
	if !strings.HasPrefix(key, assignmentlog.Prefix) || r.cfg.AssignmentLog().OutcomeUnknown() {
		return
	}
	kind := detection.SegmentOlder
	if found.Revision == 0 {
		kind = detection.SegmentMissing
	}
	r.ReportLoss(detection.Evidence{Kind: kind, Key: key, Found: found.Revision}, time.Now())
}
