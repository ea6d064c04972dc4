package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// applySpotNotice prepares for the loss of a machine within some seconds: what can save does so,
// what may still complete goes on, and the rest begins anew elsewhere at once.
func (m *Manager) applySpotNotice(machine *cluster.Machine, inS float64, now time.Time) {
	if machine.Health.NoticeUntil.IsZero() {
		slog.Info("machine will be reclaimed", "machine", machine.ID, "term", m.Fencing.Current, "inS", inS)
	}
	machine.Health.Draining = true
	m.Planner.Capacity.Withdraw(machine)
	machine.Health.NoticeUntil = now.Add(time.Duration(inS * float64(time.Second)))
	for _, a := range machine.Assignments {
		switch {
		case a.Outcome != cluster.Open || a.Stop.Requested:
		case m.canSave(a, inS):
			m.Stop(a, a.Job.Spec.CheckpointSaveS)
		case m.shouldRestartElsewhere(a, inS, now):
			m.Stop(a, 0)
		}
	}
	m.Planner.Requested = true
}

// canSave tells whether a task can save a checkpoint within some seconds.
func (m *Manager) canSave(assignment *cluster.Assignment, withinS float64) bool {
	spec := assignment.Job.Spec
	if assignment.Job.IsGang() {
		return gang.ShouldCheckpoint(spec.CheckpointIntervalS, spec.CheckpointSaveS, m.Derived.Workers.GangStopWindow.Seconds(), withinS)
	}
	return spec.CheckpointIntervalS > 0 && spec.CheckpointSaveS < withinS
}

// shouldRestartElsewhere tells whether a task on a machine that will be taken within some seconds
// should begin anew elsewhere: if it stays, it most likely loses the time until then as well.
func (m *Manager) shouldRestartElsewhere(assignment *cluster.Assignment, withinS float64, now time.Time) bool {
	if !assignment.Job.Spec.RunsToCompletion() {
		return len(m.Planner.Unmet) == 0 // it never completes; while others wait it would, too
	}
	ranS := 0.0
	if assignment.ObservedState == workers.StateRunning {
		ranS = now.Sub(assignment.RunningSince).Seconds()
	}
	runS := m.RunTimes.JobSeconds(assignment.Job)
	chance := m.RunTimes.Of(assignment.Job.Spec.Class).ChanceToEnd(ranS, withinS, runS)
	return chance*runS < (1-chance)*withinS
}

// DrainStraggler drains a machine that runs tasks much slower than others, and stops the batch
// work on it that would be over sooner elsewhere. It tells whether the machine is one.
func (m *Manager) DrainStraggler(machine *cluster.Machine, now time.Time) bool {
	if !machine.Offer.Straggler {
		slow, odds := m.RunTimes.IsStraggler(machine, now)
		if !slow {
			return false
		}
		slog.Info("straggler detected", "machine", machine.ID, "term", m.Fencing.Current, "odds", odds)
		machine.Offer.Straggler = true
	}
	servesUsers := false
	for _, a := range machine.Assignments {
		if !a.Job.Spec.RunsToCompletion() {
			servesUsers = true
			continue
		}
		if a.Outcome == cluster.Open && !a.Stop.Requested && m.RunTimes.SoonerElsewhere(a, now) {
			m.Stop(a, a.Job.Spec.CheckpointSaveS)
			m.Planner.Requested = true
		}
	}
	machine.Health.Draining = machine.Health.Draining || !servesUsers
	return true
}

// ProductionTasks is how many production tasks a machine has: their users wait, while other work
// is only late.
func ProductionTasks(machine *cluster.Machine) (count int) {
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Job.Spec.Priority == jobs.Prod {
			count++
		}
	}
	return count
}
