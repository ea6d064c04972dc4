package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/settings"
)

// finishFailover ends the failover once every machine that the records name is accounted for.
func (l *Leader) finishFailover(now time.Time) {
	if !l.failover.TryFinish(now) {
		return
	}
	progress := l.failover.Progress(now)
	slog.Info("failover settled", "term", l.fencing.Current, "afterS", progress.DoneS, "machines", progress.Expected,
		"heard", progress.Reported, "never", progress.NeverReported, "answerS", progress.FirstResponseS,
		"orderS", progress.FirstCommandS, "commands", progress.Commands)
	l.planner.PlanRequested = true
}

// mayPreempt reports whether tasks of other jobs may be preempted for job. After a failover,
// machines that have not reported yet may have free capacity, so a job preempts only after it
// has waited for preemptionDelay.
func (l *Leader) mayPreempt(job *cluster.Job, now time.Time) bool {
	if !l.failover.AwaitsCapacity(now) {
		return true // always, except in the first seconds of a term
	}
	return l.failover.MayPreempt(now, job.Scheduling.LastServedAt, l.preemptionDelay(job))
}

// preemptionDelay returns how long a job waits after a failover before tasks of other jobs are
// preempted for it. Production does not wait, because its users notice each second. A job with a
// wait objective or within a guarantee waits for planner.PreemptionDelayShare of the time in which it
// should start. Other jobs wait until the machines that have not reported are overdue.
func (l *Leader) preemptionDelay(job *cluster.Job) time.Duration {
	if job.Spec.Priority == jobs.Prod {
		return 0
	}
	delay := l.Derived.Detection.HeartbeatOverdue
	for _, objective := range l.Settings.Deployment.Objectives {
		hasWaitObjective := objective.Kind == settings.ObjectiveWait && objective.Class == job.Spec.Class
		hasGuarantee := objective.Kind == settings.ObjectiveGuarantee && job.Scheduling.WithinGuarantee && job.Spec.Shape == jobs.Batch
		if hasWaitObjective || hasGuarantee {
			delay = min(delay, cluster.ScaleDuration(time.Second, planner.PreemptionDelayShare*objective.WithinS))
		}
	}
	return cluster.ScaleDuration(delay, l.Settings.Operator.FailoverPatience)
}
