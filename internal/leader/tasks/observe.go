package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// Observe applies a worker's heartbeat to its machine and assignments. An out-of-date or duplicate
// heartbeat is ignored, as it must not overwrite newer state.
func (m *Manager) Observe(machine *cluster.Machine, heartbeat *workers.Heartbeat, now time.Time) {
	worker := &machine.Worker
	isStale := heartbeat.AgentEpoch == worker.AgentEpoch && worker.Seq != 0 && heartbeat.Seq <= worker.Seq
	if heartbeat.AgentEpoch < worker.AgentEpoch || isStale {
		return
	}
	if heartbeat.AgentEpoch > worker.AgentEpoch {
		// The response to a command or a probe may report the new agent epoch before the
		// lease of the old one has expired here, because the leader counts a lease from the
		// arrival of a heartbeat. Tasks that start in the new epoch may run for a whole lease
		// from now.
		worker.LeaseUntil = now.Add(m.Derived.Workers.LeaseExpiry)
		machine.Commands.InDoubtSince = time.Time{}
		m.Planner.PlanRequested = true
	}
	worker.AgentEpoch, worker.Seq = heartbeat.AgentEpoch, heartbeat.Seq
	worker.RecordMessage(now)
	worker.Token, worker.Tasks = heartbeat.FencingToken, heartbeat.Tasks
	machine.Addr, machine.Type, machine.Zone, machine.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	if heartbeat.SpotNoticeS != nil {
		m.applySpotNotice(machine, *heartbeat.SpotNoticeS, now)
	}
	dropRefusedStarts(machine, heartbeat)
	m.reconcileAssignments(machine, heartbeat, now)
	m.reserveUnassignedBytes(machine, heartbeat)
	m.recordHeartbeatSize(machine, heartbeat)
}

const (
	// fewListedTasks is a number of tasks that fit into a heartbeat beside those that are assigned.
	fewListedTasks = 64
	// unlistedBytes is the part of a heartbeat that is not for assigned tasks.
	unlistedBytes = workers.MaxMessageBytes - workers.MaxListedTasksBytes
)

// reserveUnassignedBytes keeps room in the worker's heartbeats for what they list beside the assigned tasks: tasks that
// have ended and are not acknowledged yet, and fields of which this program does not know.
func (m *Manager) reserveUnassignedBytes(machine *cluster.Machine, heartbeat *workers.Heartbeat) {
	unassigned := 0.0
	if len(heartbeat.Tasks) > fewListedTasks {
		for i := range heartbeat.Tasks {
			if machine.FindAssignment(cluster.RefOf(&heartbeat.Tasks[i])) == nil {
				unassigned += float64(heartbeat.Tasks[i].MaxBytes())
			}
		}
	}
	unassigned = max(unassigned, float64(heartbeat.Bytes)-unlistedBytes-machine.Used.HeartbeatBytes)
	if m.Planner.Capacity.SetUnassignedBytes(machine, unassigned) {
		m.Planner.PlanRequested = true
	}
}

// recordHeartbeatSize records the size of a heartbeat, and logs the first of several that are too large. The limit does
// not apply to those that came in responses.
func (m *Manager) recordHeartbeatSize(machine *cluster.Machine, heartbeat *workers.Heartbeat) {
	if heartbeat.Bytes == 0 {
		return
	}
	wasOversized := machine.Worker.OversizedBytes() > 0
	machine.Worker.HeartbeatBytes = heartbeat.Bytes
	if oversized := machine.Worker.OversizedBytes(); oversized > 0 && !wasOversized {
		slog.Warn("heartbeat larger than the protocol allows", "machine", machine.ID, "term", m.Fencing.Current, "bytes", oversized, "tasks", len(heartbeat.Tasks))
	}
}

// dropRefusedStarts removes tasks from StartedByRequest that the worker no longer lists, once it
// has seen a higher token than that of the request: from then on it refuses late copies of the
// request.
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
		observation := reconcile.Observation{AgentEpoch: heartbeat.AgentEpoch, Token: heartbeat.FencingToken}
		if a.AgentEpoch == heartbeat.AgentEpoch {
			observation.Task = cluster.FindTask(heartbeat, a.Ref())
		}
		m.applyDecision(a, observation.Task, reconcile.DecideOnHeartbeat(m.AttemptState(a, now), observation), now)
	}
}

// applyDecision applies a reconciliation decision to an assignment. task is nil if the worker does
// not list it.
func (m *Manager) applyDecision(assignment *cluster.Assignment, task *workers.TaskStatus, decision reconcile.Decision, now time.Time) {
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
	default: // the task continues, or its state is uncertain
	}
}

// applyTaskState applies the reported state of a task to its assignment.
func (m *Manager) applyTaskState(assignment *cluster.Assignment, task *workers.TaskStatus, now time.Time) {
	// A start command is sent in one request at a time: a task that is listed has received it,
	// so the command is no longer in doubt.
	assignment.Start.InDoubtToken, assignment.Start.Sent = 0, true
	if assignment.ObservedState == task.State {
		return
	}
	slog.Debug("task state changed", "task", task.Name, "machine", assignment.Machine.ID, "term", m.Fencing.Current, "state", task.State)
	switch task.State {
	case workers.StateRunning:
		if assignment.ObservedState == workers.StateFetching || assignment.ObservedState == workers.StateGathering || !assignment.Restored {
			assignment.RunningSince = now
			assignment.RunStartKnown = m.changesAreRecent(assignment.Machine)
		}
		assignment.Machine.CacheImage(assignment.Job.Spec, m.imageCacheGB(assignment.Machine))
	case workers.StateGathering:
		assignment.Machine.CacheImage(assignment.Job.Spec, m.imageCacheGB(assignment.Machine))
	}
	setObservedState(assignment, task.State)
	m.Host.CountsChanged(assignment.Job)
}

// maxUnobservedHeartbeats is the time between two messages of a worker, in heartbeat intervals, up to which a change
// between them counts as having happened when the second arrives.
const maxUnobservedHeartbeats = 2

// changesAreRecent reports whether what the machine's newest message shows for the first time has just happened. After
// a silence it may have happened at any time, and run times that begin or end there are not known.
func (m *Manager) changesAreRecent(machine *cluster.Machine) bool {
	return machine.Worker.ChangesAreRecent(maxUnobservedHeartbeats * m.Derived.Workers.HeartbeatInterval)
}

// imageCacheGB returns the capacity of the machine's image cache, or 0 if it is not known.
func (m *Manager) imageCacheGB(machine *cluster.Machine) float64 {
	if machineType := m.Catalog.Type(machine.Type); machineType != nil {
		return machineType.CacheGB
	}
	return 0
}

// taskCompleted ends an assignment whose task has completed and resets the failure counts of its
// job and machine.
func (m *Manager) taskCompleted(assignment *cluster.Assignment, now time.Time) {
	assignment.Job.Scheduling.ConsecutiveFailures, assignment.Job.Scheduling.LastServedAt = 0, now
	clear(assignment.Machine.Health.FailedJobs)
	if m.changesAreRecent(assignment.Machine) {
		m.RunTimes.TaskCompleted(assignment, now)
	}
	m.End(assignment, cluster.Success)
}
