package leader

import (
	"time"

	"ospreyslip/internal/leader/cluster"
)

// plan makes a plan for the present state, and applies its preemptions and placements.
func (l *Leader) plan(now time.Time) {
	defer func() { l.planner.RecordDuration(time.Since(now)) }()
	plan := l.planner.Plan(now)
	for _, preemption := range plan.Preemptions {
		l.tasks.Stop(preemption.Assignment, preemption.GraceS)
	}
	for _, placed := range plan.Placements {
		l.tasks.Assign(placed.Job, placed.Job.TakePendingTask(), placed.Machine, now).Starved = placed.Starved
	}
}

// acceptsWork reports whether tasks may be placed on a machine.
func (l *Leader) acceptsWork(machine *cluster.Machine, now time.Time) bool {
	return machine.Phase == cluster.Up && !machine.Health.Dead && !machine.Health.Draining && machine.Worker.AgentEpoch != 0 && machine.Worker.Token <= l.fencing.Current && l.detector.Schedulable(machine.ID, now)
}

// updateOffer makes a machine available for placement if it accepts work, and withdraws it if not.
func (l *Leader) updateOffer(machine *cluster.Machine, now time.Time) {
	if !l.acceptsWork(machine, now) {
		l.planner.Capacity.Withdraw(machine)
		return
	}
	if l.planner.Capacity.Offer(machine) {
		l.planner.PlanRequested = true
	}
}
