package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/placement"
)

// planConstraints is the leader as its planner sees it.
type planConstraints struct{ l *Leader }

var _ planner.Constraints = planConstraints{}

func (c planConstraints) MayPreempt(job *cluster.Job, now time.Time) bool {
	return c.l.mayPreempt(job, now)
}

func (c planConstraints) MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool {
	return c.l.recovery.AwaitsWorkers(job, now)
}

func (c planConstraints) AddHeldUsage(usedByTeam map[string]placement.Resources) {
	c.l.recovery.AddHeldUsage(usedByTeam)
}

// plan places pending tasks on the state as it is.
func (l *Leader) plan(now time.Time) {
	defer func() { l.planner.Finished(time.Since(now)) }()
	plan := l.planner.Plan(now)
	for _, preemption := range plan.Preemptions {
		l.stopTask(preemption.Assignment, preemption.GraceS)
	}
	for _, placed := range plan.Placements {
		l.assign(placed.Job, placed.Job.TakePendingTask(), placed.Machine, now).Overdue = placed.Starved
	}
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *cluster.Machine, now time.Time) bool {
	return m.Phase == cluster.Up && !m.Health.Dead && !m.Health.Draining && m.Worker.Session != 0 && m.Worker.Token <= l.fencing.token && l.detector.Schedulable(m.ID, now)
}

// assign gives a task to a machine, as far as this leader is concerned.
func (l *Leader) assign(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Assignment {
	l.lastAttempt++
	a := &cluster.Assignment{Job: j, Index: task, Attempt: l.lastAttempt, Session: m.Worker.Session, Machine: m, RunningSince: now, CreatedAt: now}
	if j.IsGang() {
		if a.GangAttempt = j.Gang.Number; a.GangAttempt == 0 {
			// The number of the first task is that of all; its own is another.
			a.GangAttempt = l.lastAttempt
			l.lastAttempt++
			a.Attempt = l.lastAttempt
		}
		j.JoinGang(a)
	}
	slog.Debug("task placed", "task", a.TaskName(), "machine", m.ID, "term", l.fencing.token, "class", j.Spec.Class)
	l.planner.Capacity.Count(a)
	m.Assignments[a.Attempt] = a
	j.Assignments[task] = a
	l.log.QueueBegin(a)
	if !m.Offer.Images[j.Spec.Image] {
		m.Offer.Fetching[j.Spec.Image] = j.Spec.ImageGB
	}
	return a
}
