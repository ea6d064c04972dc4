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

// This file checks the records that a new leader loads, in the order in which it loads them, and
// the segments of the assignment log that it writes later.

// ReadControlKeys reads from the key-value store whether an earlier leader was recovering records,
// and how many segments the assignment log had. It blocks for one request and must be called
// before the event loop starts.
func (r *Recoverer) ReadControlKeys(ctx context.Context, now time.Time) error {
	status, err := r.controlKeys.read(ctx)
	if err != nil {
		return err
	}
	if status != nil {
		if status.LogIncomplete {
			r.adoption.expectUnloggedTasks(now)
		}
		r.ReportLoss(detection.Evidence{Kind: detection.NoticedByPredecessor, Known: status.Token}, now)
	}
	if r.phase == NotRecovering && (r.cfg.Cache.Readiness.LossSuspected() || r.cfg.Cache.LostCount() > 0) {
		// A loss was noticed while there was no leader.
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.NoticedByPredecessor}, now)
	}
	return nil
}

// CheckLog reports a loss if the assignment log that a new leader has read lacks segments, has
// unreadable ones, or names attempts of a higher token than this term's. It also reserves the
// attempt numbers that the log names.
func (r *Recoverer) CheckLog(log []assignmentlog.StoredSegment, now time.Time) {
	var segments []detection.Segment
	for _, stored := range log {
		segments = append(segments, detection.Segment{Key: stored.Key, Number: stored.Record.Number, Unreadable: stored.Unreadable})
	}
	if len(log) < r.controlKeys.logSize {
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.SegmentMissing, Key: assignmentlog.Prefix, Known: uint64(r.controlKeys.logSize), Found: uint64(len(log))}, now)
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
		r.ReportLoss(detection.Evidence{Kind: detection.TokenRolledBack, Key: election.TokenKey, Known: token, Found: own}, now)
	}
}

// newestAttempt returns the highest attempt number in a log.
func newestAttempt(log []assignmentlog.StoredSegment) (newest uint64) {
	for _, stored := range log {
		for _, machine := range stored.Record.Started {
			for _, task := range machine.Tasks {
				newest = max(newest, task.Attempt)
			}
		}
	}
	return newest
}

// RecordCounts counts job records.
type RecordCounts struct {
	Known int // known to this controller before it read them
	Read  int
}

// CheckRecords compares the records that a new leader has read with what this controller knew
// before, and with the jobs that the log names. isFinished reports whether a job named in the log is
// finished, according to its record or to this controller's cache. Records are never removed, so a
// missing one is a loss.
func (r *Recoverer) CheckRecords(counts RecordCounts, log []assignmentlog.StoredSegment, isFinished func(id string) bool, now time.Time) {
	if counts.Read < counts.Known {
		r.adoption.expectUnloggedTasks(now)
		r.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Known: uint64(counts.Known), Found: uint64(counts.Read)}, now)
	}
	for id := range assignmentlog.ReferencedJobs(log) {
		if !isFinished(id) && r.cfg.State.Jobs[id] == nil && !r.held.contains(id) {
			r.adoption.expectUnloggedTasks(now)
			r.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: jobs.RecordKey(id)}, now)
		}
	}
}

// AddLoggedTask records that the log names a task of a job without a record. This leader's copy of
// the log lacks the task. It is adopted from a worker's report once the job's record is restored.
func (r *Recoverer) AddLoggedTask(task assignmentlog.TaskRecord) {
	if !r.held.contains(task.Job) {
		r.knowledge.lost.Merge(task.Job, recovery.Attribute(recovery.FromLog, recovery.Knowledge{MinTasks: task.Index + 1}))
	}
}

// CheckSegment checks a key that was found at another revision than this leader wrote. For a
// segment of the assignment log only a loss explains that, unless the outcome of a transaction is
// unknown.
func (r *Recoverer) CheckSegment(key string, found kvstore.KeyValue) {
	if !strings.HasPrefix(key, assignmentlog.Prefix) || r.cfg.AssignmentLog().OutcomeUnknown() {
		return
	}
	kind := detection.SegmentMismatch
	if found.Revision == 0 {
		kind = detection.SegmentMissing
	}
	r.ReportLoss(detection.Evidence{Kind: kind, Key: key, Found: found.Revision}, time.Now())
}
