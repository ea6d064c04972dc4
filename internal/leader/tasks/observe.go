package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// Observe takes in what a worker shows of its machine. An old copy changes nothing: what is known
// must not be turned back.
func (m *Manager) Observe(machine *cluster.Machine, heartbeat *workers.Heartbeat, now time.Time) {
	worker := &machine.Worker
	isOld := heartbeat.AgentEpoch == worker.Session && worker.Seq != 0 && heartbeat.Seq <= worker.Seq
	if heartbeat.AgentEpoch < worker.Session || isOld {
		return
	}
	if heartbeat.AgentEpoch > worker.Session {
		// The answer to a command or a probe may tell of the new session before the end of the
		// old one is over by our clock, which counts from when a heartbeat arrived. What begins
		// in the new one may run for a whole lease from now.
		worker.LeaseUntil = now.Add(m.Derived.Workers.LeaseExpiry)
		machine.Commands.InDoubtSince = time.Time{}
		m.Planner.Requested = true
	}
	worker.Session, worker.Seq = heartbeat.AgentEpoch, heartbeat.Seq
	worker.Token, worker.Tasks = heartbeat.FencingToken, heartbeat.Tasks
	machine.Addr, machine.Type, machine.Zone, machine.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	if heartbeat.SpotNoticeS != nil {
		m.applySpotNotice(machine, *heartbeat.SpotNoticeS, now)
	}
	dropRefusedStarts(machine, heartbeat)
	m.reconcileAssignments(machine, heartbeat, now)
}

// dropRefusedStarts forgets tasks that a request has started and the worker shows no more, once it
// has seen a higher token: it refuses late copies of the request from then on.
func dropRefusedStarts(machine *cluster.Machine, heartbeat *workers.Heartbeat) {
	for started, token := range machine.Commands.StartedByRequest {
		if token < machine.Worker.Token && cluster.FindTask(heartbeat, started) == nil {
			delete(machine.Commands.StartedByRequest, started)
		}
	}
}

func (m *Manager) reconcileAssignments(machine *cluster.Machine, heartbeat *workers.Heartbeat, now time.Time) {
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open {
			continue
		}
		observation := reconcile.Observation{Session: heartbeat.AgentEpoch, Token: heartbeat.FencingToken}
		if a.Session == heartbeat.AgentEpoch {
			observation.Task = cluster.FindTask(heartbeat, a.Ref())
		}
		m.apply(a, observation.Task, reconcile.DecideOnHeartbeat(m.Facts(a, now), observation), now)
	}
}

// apply carries out what an observation means for an assignment. The task is nil if the worker
// does not show it.
func (m *Manager) apply(assignment *cluster.Assignment, task *workers.TaskStatus, decision reconcile.Decision, now time.Time) {
	if task != nil {
		m.applyTaskState(assignment, task, now)
	}
	switch decision.Action {
	case reconcile.Complete:
		m.taskCompleted(assignment, now)
	case reconcile.Start:
		assignment.Start.InDoubtToken, assignment.Start.Sent = 0, false
		setObservedState(assignment, "")
	case reconcile.Reschedule:
		if task != nil {
			m.recordFailure(assignment, task, now)
		} else {
			assignment.Start.InDoubtToken, assignment.Start.Sent = 0, false
		}
		m.End(assignment, cluster.Retry)
	default: // it goes on, or nothing is certain
	}
}

// applyTaskState takes in the state of an assignment's task on its machine.
func (m *Manager) applyTaskState(assignment *cluster.Assignment, task *workers.TaskStatus, now time.Time) {
	// A start is sent in one request only, so that one that is seen is not on its way any more.
	assignment.Start.InDoubtToken, assignment.Start.Sent = 0, true
	if assignment.ObservedState == task.State {
		return
	}
	slog.Debug("task seen", "task", task.Name, "machine", assignment.Machine.ID, "term", m.Fencing.Current, "state", task.State)
	switch task.State {
	case workers.StateRunning:
		if assignment.ObservedState == workers.StateFetching || assignment.ObservedState == workers.StateGathering || !assignment.Restored {
			assignment.RunningSince = now
		}
		assignment.Machine.CacheImage(assignment.Job.Spec, m.imageCacheGB(assignment.Machine))
	case workers.StateGathering:
		assignment.Machine.CacheImage(assignment.Job.Spec, m.imageCacheGB(assignment.Machine))
	}
	setObservedState(assignment, task.State)
	m.Host.CountsChanged(assignment.Job)
}

// imageCacheGB is how much a machine keeps of images; 0 if that is not known.
func (m *Manager) imageCacheGB(machine *cluster.Machine) float64 {
	if machineType := m.Catalog.Type(machine.Type); machineType != nil {
		return machineType.CacheGB
	}
	return 0
}

// taskCompleted takes in that a task is done.
func (m *Manager) taskCompleted(assignment *cluster.Assignment, now time.Time) {
	assignment.Job.Scheduling.ConsecutiveFailures, assignment.Job.Scheduling.LastServedAt = 0, now
	clear(assignment.Machine.Health.FailedJobs)
	m.RunTimes.TaskCompleted(assignment, now)
	m.End(assignment, cluster.Success)
}
