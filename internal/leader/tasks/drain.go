package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// applySpotNotice prepares for the reclaim of a spot machine in reclaimInS seconds. Tasks that can
// save a checkpoint in time are stopped to do so. Tasks that are likely to complete in time keep
// running. All others are stopped at once, to restart elsewhere.
func (m *Manager) applySpotNotice(machine *cluster.Machine, reclaimInS float64, now time.Time) {
	if machine.Health.ReclaimAt.IsZero() {
		slog.Info("machine will be reclaimed", "machine", machine.ID, "term", m.Fencing.Current, "inS", reclaimInS)
	}
	machine.Health.Draining = true
	m.Planner.Capacity.Withdraw(machine)
	machine.Health.ReclaimAt = now.Add(time.Duration(reclaimInS * float64(time.Second)))
	for _, a := range machine.Assignments {
		switch {
		case a.Outcome != cluster.Open || a.Stop.Requested:
		case m.canSaveCheckpoint(a, reclaimInS):
			m.Stop(a, a.Job.Spec.CheckpointSaveS)
		case m.shouldRestartElsewhere(a, reclaimInS, now):
			m.Stop(a, 0)
		}
	}
	m.Planner.PlanRequested = true
}

// canSaveCheckpoint reports whether the task can save a checkpoint within withinS seconds.
func (m *Manager) canSaveCheckpoint(assignment *cluster.Assignment, withinS float64) bool {
	spec := assignment.Job.Spec
	if assignment.Job.IsGang() {
		return gang.ShouldCheckpoint(spec.CheckpointIntervalS, spec.CheckpointSaveS, m.Derived.Workers.GangStopWindow.Seconds(), withinS)
	}
	return spec.CheckpointIntervalS > 0 && spec.CheckpointSaveS < withinS
}

// shouldRestartElsewhere reports whether a task on a machine that will be reclaimed in withinS
// seconds should restart elsewhere now: if it stays and does not complete, it also loses the time
// until then. The expected gain of staying is weighed against the expected loss.
func (m *Manager) shouldRestartElsewhere(assignment *cluster.Assignment, withinS float64, now time.Time) bool {
	if !assignment.Job.Spec.RunsToCompletion() {
		return len(m.Planner.UnmetDemand) == 0 // it never completes, and would have to wait while others do
	}
	ranS := 0.0
	if assignment.ObservedState == workers.StateRunning {
		ranS = now.Sub(assignment.RunningSince).Seconds()
	}
	expectedRunS := m.RunTimes.JobRunTimeS(assignment.Job)
	completionChance := m.RunTimes.ForClass(assignment.Job.Spec.Class).CompletionProbability(ranS, withinS, expectedRunS)
	return completionChance*expectedRunS < (1-completionChance)*withinS
}

const (
	// stragglerPeriodDivisor divides the time without resources after which a job is starved: the quotient is the
	// time for which a machine counts as a straggler. A job that may use no other machine waits for its end.
	stragglerPeriodDivisor = 4
	// maxStragglerDoublings is how often that time is doubled for a machine that is found to be slow again.
	maxStragglerDoublings = 1
)

// markStraggler excludes the machine from work that runs to completion, for a while.
func (m *Manager) markStraggler(machine *cluster.Machine, now time.Time) {
	period := m.Derived.Leader.StarvationLimit / stragglerPeriodDivisor
	period <<= min(machine.Health.SlowPeriods, maxStragglerDoublings)
	machine.Offer.Straggler = true
	machine.Health.SlowUntil = now.Add(period)
	machine.Health.SlowPeriods++
}

// endStragglerPeriod lets a machine have all kinds of work again, so that it is judged by that, unless it is drained. It
// reports whether the machine is still excluded.
func (m *Manager) endStragglerPeriod(machine *cluster.Machine, now time.Time) (excluded bool) {
	if !machine.Offer.Straggler || machine.Health.Draining || now.Before(machine.Health.SlowUntil) {
		return machine.Offer.Straggler
	}
	slog.Info("straggler is judged again", "machine", machine.ID, "term", m.Fencing.Current)
	machine.Offer.Straggler, machine.Health.SlowLogOdds = false, 0
	m.Planner.PlanRequested = true
	return false
}

// DrainStraggler reports whether the machine is a straggler: one that runs tasks much more slowly
// than others. It stops the machine's batch and gang tasks that would complete sooner elsewhere, each at most
// once, and drains the machine unless it runs services.
func (m *Manager) DrainStraggler(machine *cluster.Machine, now time.Time) bool {
	if !m.endStragglerPeriod(machine, now) {
		slow, odds := m.RunTimes.IsStraggler(machine)
		if !slow {
			return false
		}
		slog.Info("straggler detected", "machine", machine.ID, "term", m.Fencing.Current, "odds", odds)
		m.markStraggler(machine, now)
	}
	runsServices := false
	for _, a := range machine.Assignments {
		if !a.Job.Spec.RunsToCompletion() {
			runsServices = true
			continue
		}
		if a.Outcome == cluster.Open && !a.Stop.Requested && a.Job.MayStopAsSlow(a.Index) && m.RunTimes.FinishesSoonerElsewhere(a, now) {
			a.Job.RecordSlowStop(a.Index)
			m.Stop(a, a.Job.Spec.CheckpointSaveS)
			m.Planner.PlanRequested = true
		}
	}
	machine.Health.Draining = machine.Health.Draining || !runsServices
	return true
}

// ProductionTasks returns the number of open production tasks on the machine. An interruption of
// these affects users, whereas other work is only delayed.
func ProductionTasks(machine *cluster.Machine) (count int) {
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Job.Spec.Priority == jobs.Prod {
			count++
		}
	}
	return count
}
