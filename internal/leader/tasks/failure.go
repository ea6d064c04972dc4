package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

const (
	// failuresBeforeBackoff is the number of consecutive failures of a job without backoff.
	failuresBeforeBackoff = 2
	// maxBackoffDoublings limits how often the delay between attempts is doubled.
	maxBackoffDoublings = 6
)

// recordFailure processes a task that ended without completing. Depending on the cause, its job may
// back off and may be kept off the machine for a while.
func (m *Manager) recordFailure(assignment *cluster.Assignment, task *workers.TaskStatus, now time.Time) {
	job, machine := assignment.Job, assignment.Machine
	switch task.Cause {
	case workers.CauseStopped, workers.CauseGangMemberGone, workers.CauseGangIncomplete:
	case workers.CauseError:
		m.backOff(job, now)
		m.recordFailureOnMachine(machine, job, now)
	default: // no_room, busy, unknown: the worker refused the task; retry soon
		machine.AvoidJobUntil(job.ID, now.Add(m.Derived.Workers.HeartbeatInterval))
		if task.Cause == workers.CauseUnknown {
			job.Scheduling.BackoffUntil = now.Add(m.Derived.Workers.HeartbeatInterval)
		}
	}
	slog.Debug("task ended", "task", assignment.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "reason", task.Cause)
}

// backOff delays the next attempt of a job exponentially if it keeps failing. A job that fails on
// several machines in a row is most likely at fault itself.
func (m *Manager) backOff(job *cluster.Job, now time.Time) {
	job.Scheduling.ConsecutiveFailures++
	if failures := job.Scheduling.ConsecutiveFailures; failures > failuresBeforeBackoff {
		delay := m.Derived.Workers.HeartbeatInterval << min(failures-failuresBeforeBackoff, maxBackoffDoublings)
		job.Scheduling.BackoffUntil = now.Add(min(delay, m.Derived.Workers.CancelDeadline))
	}
}

// recordFailureOnMachine keeps the job off the machine for one worker lease, because the machine is
// usually the cause of the failure. A machine on which more than one job has failed since a task
// last completed there is drained.
func (m *Manager) recordFailureOnMachine(machine *cluster.Machine, job *cluster.Job, now time.Time) {
	machine.Health.FailedJobs[job.ID] = true
	machine.AvoidJobUntil(job.ID, now.Add(m.Derived.Workers.Lease))
	if len(machine.Health.FailedJobs) > 1 && !machine.Health.Draining {
		slog.Info("machine suspected", "machine", machine.ID, "term", m.Fencing.Current, "reason", "several jobs failed on the machine")
		machine.Health.Draining = true
		m.Planner.Capacity.Withdraw(machine)
	}
}
