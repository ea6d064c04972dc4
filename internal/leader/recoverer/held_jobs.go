package recoverer

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/workers"
)

// heldJobs holds the jobs that are not run because it is not certain that they should run.
type heldJobs struct {
	cfg     *Config
	orphans *orphanedTasks
	byID    map[string]*heldJob
}

// heldJob is a job that is not run until proof or an operator decides its outcome.
type heldJob struct {
	revision    uint64 // revision of its record
	reason      string
	heldSinceMs int64
	known       recovery.Knowledge
}

func (h *heldJobs) contains(id string) bool { return h.byID[id] != nil }

// hold records that a job is held according to its record. It ignores a record that is not newer
// than the one already known.
func (h *heldJobs) hold(id string, record *jobs.Record, revision uint64) {
	earlier := h.byID[id]
	if earlier != nil && earlier.revision >= revision {
		return
	}
	recorded := recovery.Knowledge{Spec: record.Held.Spec, AcceptedAtMs: record.Held.AcceptedAtMs, Unfinished: record.Held.OnlySpecMissing}
	if record.Held.Spec != nil {
		recorded.Tasks = record.Tasks
	} else {
		recorded.MinTasks = record.Tasks
	}
	if record.Held.Contradicts {
		recorded.Done, recorded.Cancelled = true, true
	}
	job := &heldJob{
		revision: revision, reason: record.Held.Reason, heldSinceMs: record.Held.HeldSinceMs,
		known: recovery.Attribute(recovery.FromStore, recorded),
	}
	if earlier != nil {
		job.known = job.known.Join(earlier.known)
	}
	h.byID[id] = job
	delete(h.orphans.byJob, id)
	slog.Info("job held", "job", id, "term", h.cfg.token(), "reason", job.reason)
}

// addTaskProof records what a worker's task proves about a held job. It reports whether that
// decides the job's outcome, in which case the caller has to write the job's record.
func (h *heldJobs) addTaskProof(id, machine string, index int, task *workers.TaskStatus) (decided bool) {
	job := h.byID[id]
	before := len(job.known.CompletedTasks)
	job.known = job.known.Join(proofOfTask(machine, index, task))
	if len(job.known.CompletedTasks) == before {
		return false
	}
	return !recovery.Decide(job.known, true).Held
}

// releaseOverdue lets jobs run that have been held for at least afterMs milliseconds. It returns
// their ids; the caller has to write their records.
func (h *heldJobs) releaseOverdue(afterMs int64, now time.Time) (released []string) {
	for id, job := range h.byID {
		if now.UnixMilli()-job.heldSinceMs < afterMs {
			continue
		}
		if _, err := recovery.Settle(job.known, recovery.SettleRun); err == nil {
			job.known.Unfinished = true
			released = append(released, id)
			slog.Info("held job released to run", "job", id, "term", h.cfg.token(), "reason", "held for runUncertainAfterS")
		}
		job.heldSinceMs = now.UnixMilli()
	}
	return released
}

// HoldJob records that a job is held according to its record at the given revision.
func (r *Recoverer) HoldJob(id string, record *jobs.Record, revision uint64) {
	r.held.hold(id, record, revision)
}

// ReleaseJob records that a job's record no longer says that the job is held.
func (r *Recoverer) ReleaseJob(id string) { delete(r.held.byID, id) }

// RunUncertainJobs releases jobs that have been held for the time set by the operator, if any, so
// that they run. The event loop calls it once per control interval.
func (r *Recoverer) RunUncertainJobs(now time.Time) {
	afterS := r.cfg.Settings.Operator.RunHeldJobsAfterS
	if afterS <= 0 || r.phase != NotRecovering || r.committer.inFlight {
		return
	}
	for _, id := range r.held.releaseOverdue(int64(afterS*1000), now) {
		r.writeBack.enqueue(id)
	}
}
