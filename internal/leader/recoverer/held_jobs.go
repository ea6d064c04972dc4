package recoverer

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/workers"
)

// heldJobs is the jobs that are not run, as it is not certain that they should be.
type heldJobs struct {
	cfg     *Config
	orphans *orphanedTasks
	byID    map[string]*heldJob
}

// heldJob is one of them.
type heldJob struct {
	revision uint64 // of its record
	reason   string
	sinceMs  int64
	known    recovery.Knowledge
}

func (h *heldJobs) contains(id string) bool { return h.byID[id] != nil }

// hold takes in the record of a held job. An older one than is known says nothing.
func (h *heldJobs) hold(id string, record *jobs.Record, revision uint64) {
	earlier := h.byID[id]
	if earlier != nil && earlier.revision >= revision {
		return
	}
	said := recovery.Knowledge{Spec: record.Held.Spec, AcceptedMs: record.Held.AcceptedAtMs, Unfinished: record.Held.OnlySpecMissing}
	if record.Held.Spec != nil {
		said.Tasks = record.Tasks
	} else {
		said.MinTasks = record.Tasks
	}
	if record.Held.Contradicts {
		said.Done, said.Cancelled = true, true
	}
	job := &heldJob{
		revision: revision, reason: record.Held.Reason, sinceMs: record.Held.HeldSinceMs,
		known: recovery.Attribute(recovery.FromService, said),
	}
	if earlier != nil {
		job.known = job.known.Join(earlier.known)
	}
	h.byID[id] = job
	delete(h.orphans.byJob, id)
	slog.Info("job held", "job", id, "term", h.cfg.token(), "reason", job.reason)
}

// addTask takes in a worker's task of a held job. It tells whether that proves what was open:
// then the job's record is to be written.
func (h *heldJobs) addTask(id, machine string, index int, task *workers.TaskStatus) (decided bool) {
	job := h.byID[id]
	before := len(job.known.CompletedTasks)
	job.known = job.known.Join(proofOfTask(machine, index, task))
	if len(job.known.CompletedTasks) == before {
		return false
	}
	return !recovery.Decide(job.known, true).Held
}

// releaseOverdue lets those jobs run that have been held for as long as operators allow, and
// returns them: their records are to be written.
func (h *heldJobs) releaseOverdue(afterMs int64, now time.Time) (released []string) {
	for id, job := range h.byID {
		if now.UnixMilli()-job.sinceMs < afterMs {
			continue
		}
		if _, err := recovery.Settle(job.known, recovery.SettleRun); err == nil {
			job.known.Unfinished = true
			released = append(released, id)
			slog.Info("uncertain job runs", "job", id, "term", h.cfg.token(), "reason", "held for runUncertainAfterS")
		}
		job.sinceMs = now.UnixMilli()
	}
	return released
}

// HoldJob takes in the record of a job that is held.
func (r *Recoverer) HoldJob(id string, record *jobs.Record, revision uint64) {
	r.held.hold(id, record, revision)
}

// ReleaseJob takes in that a job's record does not say any more that it is held.
func (r *Recoverer) ReleaseJob(id string) { delete(r.held.byID, id) }

// RunUncertainJobs runs held jobs after the time that operators allow, if they do. It is called
// once in a control interval.
func (r *Recoverer) RunUncertainJobs(now time.Time) {
	afterS := r.cfg.Settings.Operator.RunUncertainAfterS
	if afterS <= 0 || r.phase != Whole || r.commits.inFlight {
		return
	}
	for _, id := range r.held.releaseOverdue(int64(afterS*1000), now) {
		r.writeBack.enqueue(id)
	}
}
