package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

const (
	// freeFailures is how many failures in a row a job has before it is tried more rarely.
	freeFailures = 2
	// maxBackoffDoublings bounds how often the pause between tries is doubled.
	maxBackoffDoublings = 6
)

// recordFailure finds out whether a task that ended without being done says something against its
// machine or its job.
func (m *Manager) recordFailure(assignment *cluster.Assignment, task *workers.TaskStatus, now time.Time) {
	job, machine := assignment.Job, assignment.Machine
	switch task.Cause {
	case workers.CauseStopped, workers.CauseMatesGone, workers.CauseIncomplete:
	case workers.CauseError:
		m.backOff(job, now)
		m.suspectFaulty(machine, job, now)
	default: // no_room, busy, unknown: refused, and worth another try soon
		machine.AvoidJobUntil(job.ID, now.Add(m.Derived.Workers.HeartbeatInterval))
		if task.Cause == workers.CauseUnknown {
			job.Scheduling.BackoffUntil = now.Add(m.Derived.Workers.HeartbeatInterval)
		}
	}
	slog.Debug("task ended", "task", assignment.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "reason", task.Cause)
}

// backOff tries a job ever more rarely that fails on several machines in a row: that is its
// user's mistake.
func (m *Manager) backOff(job *cluster.Job, now time.Time) {
	job.Scheduling.ConsecutiveFailures++
	if failures := job.Scheduling.ConsecutiveFailures; failures > freeFailures {
		pause := m.Derived.Workers.HeartbeatInterval << min(failures-freeFailures, maxBackoffDoublings)
		job.Scheduling.BackoffUntil = now.Add(min(pause, m.Derived.Workers.CancelDeadline))
	}
}

// suspectFaulty keeps a job off the machine on which it failed, which is mostly the machine's
// fault. A machine on which several jobs fail is drained.
func (m *Manager) suspectFaulty(machine *cluster.Machine, job *cluster.Job, now time.Time) {
	machine.Health.FailedJobs[job.ID] = true
	machine.AvoidJobUntil(job.ID, now.Add(m.Derived.Workers.Lease))
	if len(machine.Health.FailedJobs) > 1 && !machine.Health.Draining {
		slog.Info("machine suspected", "machine", machine.ID, "term", m.Fencing.Current, "reason", "several jobs failed on it")
		machine.Health.Draining = true
		m.Planner.Capacity.Withdraw(machine)
	}
}
