package dispatch

import (
	"log/slog"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// MaxUndeliveredResponses is the number of consecutive undelivered heartbeat responses at which a
// machine is marked unreachable.
const MaxUndeliveredResponses = 2

// ResponseSettled records that the response to the previous heartbeat starts nothing any more, as the
// next heartbeat has arrived. A worker has one heartbeat in flight: it has executed the response, or
// dropped it. The answer to a command or a probe proves nothing of that kind, since it may overtake
// the response.
func (d *Dispatcher) ResponseSettled(machine *cluster.Machine) {
	for _, a := range machine.Assignments {
		a.Start.InResponse = false
	}
}

// CheckDelivery detects machines whose heartbeats arrive while the responses to them are lost: the
// next heartbeat shows that no command of the last response was executed. Without this check such
// a machine would look healthy forever, and tasks assigned to it would never start.
func (d *Dispatcher) CheckDelivery(machine *cluster.Machine, heartbeat *workers.Heartbeat) {
	commands := &machine.Commands
	if heartbeat.AgentEpoch > machine.Worker.AgentEpoch || len(commands.LastResponse) == 0 {
		return // a new agent epoch or no commands: the heartbeat proves nothing about delivery
	}
	if anyExecuted(machine, heartbeat) {
		commands.UndeliveredResponses = 0
		d.Detector.MarkReachable(machine.ID)
		return
	}
	commands.UndeliveredResponses++
	if commands.UndeliveredResponses == MaxUndeliveredResponses {
		slog.Info("machine does not carry out commands", "machine", machine.ID, "term", d.Fencing.Current)
		d.Detector.MarkUnreachable(machine.ID)
		d.Planner.PlanRequested = true
	}
}

// anyExecuted reports whether the heartbeat shows that any command of the last response was
// executed.
func anyExecuted(machine *cluster.Machine, heartbeat *workers.Heartbeat) bool {
	for _, command := range machine.Commands.LastResponse {
		ref := cluster.CommandRef(&command)
		if isExecuted(command.Op, cluster.FindTask(heartbeat, ref), machine.FindAssignment(ref)) {
			return true
		}
	}
	return false
}

// isExecuted reports whether a command was executed, given the task's status in the next
// heartbeat. task is nil if the worker does not list it.
func isExecuted(op string, task *workers.TaskStatus, assignment *cluster.Assignment) bool {
	switch {
	case op == workers.OpRun:
		return task != nil
	case op == workers.OpClear:
		return task == nil
	case assignment != nil && assignment.Job.IsGang() && task != nil && task.State == workers.StateRunning:
		return true // the worker lists it as running until all tasks of the gang have saved
	case task == nil:
		return true
	}
	return task.State != workers.StateRunning && task.State != workers.StateFetching && task.State != workers.StateGathering
}
