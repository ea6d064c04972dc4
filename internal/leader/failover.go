package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
)

// finishFailover notes when every machine that the records name is accounted for.
func (l *Leader) finishFailover(now time.Time) {
	if !l.failover.TryFinish(now) {
		return
	}
	progress := l.failover.Progress(now)
	slog.Info("failover settled", "term", l.fencing.Current, "afterS", progress.DoneS, "machines", progress.Expected,
		"heard", progress.Reported, "never", progress.NeverReported, "answerS", progress.FirstAnswerS,
		"orderS", progress.FirstCommandS, "commands", progress.Commands)
	l.planner.Requested = true
}

// mayPreempt tells whether others may be stopped for a job. After a failover, machines that
// are about to report may have room enough: only what would wait for too long does not wait
// for them.
func (l *Leader) mayPreempt(job *cluster.Job, now time.Time) bool {
	if !l.failover.AwaitsCapacity(now) {
		return true // which is so but for the first seconds of a term
	}
	return l.failover.MayPreempt(now, job.Scheduling.LastServedAt, l.preemptionBound(job))
}

// preemptionBound is for how long a job waits after a failover before others are stopped for
// it. Production does not wait: its users notice each second. What a guarantee covers waits part
// of the time in which it should start, other work until the machines that have not reported
// are late.
func (l *Leader) preemptionBound(job *cluster.Job) time.Duration {
	if job.Spec.Priority == jobs.Prod {
		return 0
	}
	bound := l.Derived.Detection.HeartbeatOverdue
	for _, objective := range l.Settings.Deployment.Objectives {
		toStart := objective.Kind == "wait" && objective.Class == job.Spec.Class
		byGuarantee := objective.Kind == "guarantee" && job.Scheduling.WithinGuarantee && job.Spec.Shape == jobs.Batch
		if toStart || byGuarantee {
			bound = min(bound, cluster.ScaleDuration(time.Second, planner.PatienceShare*objective.WithinS))
		}
	}
	return cluster.ScaleDuration(bound, l.Settings.Operator.TakeoverPatience)
}
