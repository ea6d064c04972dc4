package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// attemptFacts is an assignment as the reconcile package sees it.
func (l *Leader) attemptFacts(a *assignment, now time.Time) reconcile.Attempt {
	j := a.job
	return reconcile.Attempt{
		Session: a.session, Durable: a.durable, CommandPending: a.ordered, Sent: a.sent, InDoubtToken: a.doubt, ObservedState: a.seen,
		RunsToCompletion: j.spec.Ends(), JobFinished: j.over(), JobCancelled: j.cancelled, Preempted: a.stop, GraceS: a.grace,
		GangReady: a.mayRun(),
		// The log may be older than it was: the task may be over, or be elsewhere.
		RecordsIncomplete: a.restored && a.seen == "" && l.awaitsWorkers(j, now),
	}
}

// tell counts a command to a worker.
func (l *Leader) tell(c workers.Call, d reconcile.Decision) workers.Call {
	l.takeover.CountCommand(c.Op, d.Reason)
	return c
}

// settleTakeover notes when every machine that the records name is accounted for.
func (l *Leader) settleTakeover(now time.Time) {
	if !l.takeover.TryFinish(now) {
		return
	}
	p := l.takeover.Progress(now)
	slog.Info("take-over settled", "term", l.token, "afterS", p.DoneS, "machines", p.Expected, "heard", p.Reported,
		"never", p.NeverReported, "answerS", p.FirstAnswerS, "orderS", p.FirstCommandS, "commands", p.Commands)
	l.replan = true
}

// mayPreempt tells whether others may be stopped for a job. In a take-over, machines that
// are about to report may have room enough: only what would wait for too long does not wait
// for them.
func (l *Leader) mayPreempt(j *job, now time.Time) bool {
	if !l.takeover.AwaitsCapacity(now) {
		return true // which is so but for the first seconds of a term
	}
	return l.takeover.MayPreempt(now, j.served, l.preemptionBound(j))
}

// preemptionBound is for how long a job waits in a take-over before others are stopped for
// it. Production does not wait: its users notice each second. What a guarantee covers waits part
// of the time in which it should start, other work until the machines that have not reported
// are late.
func (l *Leader) preemptionBound(j *job) time.Duration {
	if j.spec.Priority == jobs.Prod {
		return 0
	}
	bound := l.Derived.Overdue
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.spec.Class || o.Kind == "guarantee" && j.covered && j.spec.Shape == jobs.Batch {
			bound = min(bound, times(time.Second, patientShare*o.WithinS))
		}
	}
	return times(bound, l.Settings.Operator.TakeoverPatience)
}
