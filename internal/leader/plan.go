package leader

import (
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
		l.tasks.Stop(preemption.Assignment, preemption.GraceS)
	}
	for _, placed := range plan.Placements {
		l.tasks.Assign(placed.Job, placed.Job.TakePendingTask(), placed.Machine, now).Overdue = placed.Starved
	}
}

// acceptsWork tells whether work may go to a machine.
func (l *Leader) acceptsWork(m *cluster.Machine, now time.Time) bool {
	return m.Phase == cluster.Up && !m.Health.Dead && !m.Health.Draining && m.Worker.Session != 0 && m.Worker.Token <= l.fencing.Current && l.detector.Schedulable(m.ID, now)
}
