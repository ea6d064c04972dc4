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
	p := l.failover.Progress(now)
	slog.Info("failover settled", "term", l.fencing.Current, "afterS", p.DoneS, "machines", p.Expected, "heard", p.Reported,
		"never", p.NeverReported, "answerS", p.FirstAnswerS, "orderS", p.FirstCommandS, "commands", p.Commands)
	l.planner.Requested = true
}

// mayPreempt tells whether others may be stopped for a job. After a failover, machines that
// are about to report may have room enough: only what would wait for too long does not wait
// for them.
func (l *Leader) mayPreempt(j *cluster.Job, now time.Time) bool {
	if !l.failover.AwaitsCapacity(now) {
		return true // which is so but for the first seconds of a term
	}
	return l.failover.MayPreempt(now, j.Scheduling.LastServedAt, l.preemptionBound(j))
}

// preemptionBound is for how long a job waits after a failover before others are stopped for
// it. Production does not wait: its users notice each second. What a guarantee covers waits part
// of the time in which it should start, other work until the machines that have not reported
// are late.
func (l *Leader) preemptionBound(j *cluster.Job) time.Duration {
	if j.Spec.Priority == jobs.Prod {
		return 0
	}
	bound := l.Derived.Detection.HeartbeatOverdue
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class || o.Kind == "guarantee" && j.Scheduling.WithinGuarantee && j.Spec.Shape == jobs.Batch {
			bound = min(bound, cluster.ScaleDuration(time.Second, planner.PatienceShare*o.WithinS))
		}
	}
	return cluster.ScaleDuration(bound, l.Settings.Operator.TakeoverPatience)
}
