package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// HeartbeatResponse returns the response to a heartbeat that has been processed, with the commands
// for the worker, and remembers these commands for CheckDelivery.
func (d *Dispatcher) HeartbeatResponse(machine *cluster.Machine) *workers.HeartbeatResponse {
	commands := d.CommandsFor(machine, true)
	machine.Commands.LastResponse = commands
	return &workers.HeartbeatResponse{FencingToken: d.TokenFor(machine), Commands: commands}
}

// StaleHeartbeatResponse returns the response to a heartbeat with a fencing token of an earlier
// term. It stops the tasks of cancelled jobs. Any response renews the worker's lease, so without these stops the
// tasks would run for another whole lease if this leader failed before the next heartbeat, and each
// of its successors could extend that again. Stopping them is correct however old the heartbeat is.
func (d *Dispatcher) StaleHeartbeatResponse(heartbeat *workers.Heartbeat) *workers.HeartbeatResponse {
	commands := []workers.Command{}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		job, _, ok := workers.SplitTask(task.Name)
		decision := reconcile.DecideOnStaleHeartbeat(task, ok && d.Host.IsCancelled(job))
		if decision.Action == reconcile.Stop {
			commands = append(commands, d.countCommand(newStopCommand(task.Name, task.Attempt, 0), decision))
		}
	}
	return &workers.HeartbeatResponse{FencingToken: d.Fencing.TermToken, Commands: commands}
}

// CommandsFor returns the commands for the machine's worker, derived from the difference between
// the tasks that the worker lists and the machine's assignments. inHeartbeatResponse is set for
// the response to a heartbeat, and unset for a direct command request.
//
// Only responses clear an ended task: a worker has one heartbeat in flight, so no start in an
// earlier response can arrive after the clear. A task started by a direct command is cleared only
// once the worker has seen a higher token. From then on the worker refuses a late copy of that
// command, which would otherwise start the task again.
func (d *Dispatcher) CommandsFor(machine *cluster.Machine, inHeartbeatResponse bool) []workers.Command {
	commands := []workers.Command{}
	if machine.Phase == cluster.Releasing {
		return commands
	}
	now := time.Now()
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || a.AgentEpoch != machine.Worker.AgentEpoch {
			continue
		}
		switch decision := reconcile.DecideCommand(d.Tasks.AttemptState(a, now)); decision.Action {
		case reconcile.Stop:
			commands = append(commands, d.countCommand(newStopCommand(a.TaskName(), a.WireAttempt(), decision.GraceS), decision))
		case reconcile.Start:
			a.Start.Sent, a.Start.InResponse, a.Start.RequestInFlight = true, inHeartbeatResponse, !inHeartbeatResponse
			commands = append(commands, d.countCommand(newRunCommand(a), decision))
		default: // the task continues, or its command has to wait
		}
	}
	return d.addOrphanCommands(machine, commands, inHeartbeatResponse)
}

// addOrphanCommands appends the commands for the orphaned tasks that the worker lists.
func (d *Dispatcher) addOrphanCommands(machine *cluster.Machine, commands []workers.Command, inHeartbeatResponse bool) []workers.Command {
	var heldAcks heldAcknowledgements
	for i := range machine.Worker.Tasks {
		task := &machine.Worker.Tasks[i] // not copied: that would allocate on each unchanged heartbeat
		ref := cluster.RefOf(task)
		if machine.FindAssignment(ref) != nil {
			continue // still assigned, if only because its end is not durable yet
		}
		job, _, _ := workers.SplitTask(task.Name)
		orphan := reconcile.OrphanedTask{
			Ended: task.State == workers.StateEnded, JobCancelled: d.Host.IsCancelled(job),
			RecordsIncomplete: d.Host.MustKeepOrphan(machine, task),
			CommandToken:      machine.Commands.StartedByRequest[ref], WorkerToken: machine.Worker.Token, InHeartbeatResponse: inHeartbeatResponse,
		}
		switch decision := orphan.DecideCommand(); {
		case decision.Action == reconcile.Stop:
			commands = append(commands, d.countCommand(newStopCommand(task.Name, task.Attempt, 0), decision))
		case decision.Action == reconcile.Acknowledge:
			commands = append(commands, d.countCommand(workers.Command{Op: workers.OpClear, Task: task.Name, Attempt: task.Attempt}, decision))
		case decision.Reason == reconcile.TokenNotSuperseded:
			heldAcks.add(task, orphan.CommandToken, d.isJobUnfinished(task))
		}
	}
	machine.Commands.NeedsHigherToken = heldAcks.needHigherToken()
	if machine.Commands.NeedsHigherToken && heldAcks.newestToken >= d.Fencing.Current {
		d.Fencing.AcknowledgementsHeld = true
	}
	return commands
}

// countCommand counts a command in the failover progress and returns it.
func (d *Dispatcher) countCommand(command workers.Command, decision reconcile.Decision) workers.Command {
	d.Failover.CountCommand(command.Op, decision.Reason)
	return command
}

func newRunCommand(assignment *cluster.Assignment) workers.Command {
	return workers.Command{Op: workers.OpRun, Task: assignment.TaskName(), Attempt: assignment.WireAttempt()}
}

func newStopCommand(task string, attempt uint64, graceS float64) workers.Command {
	return workers.Command{Op: workers.OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// isJobUnfinished reports whether the job of an ended task is unfinished.
func (d *Dispatcher) isJobUnfinished(task *workers.TaskStatus) bool {
	id, _, ok := workers.SplitTask(task.Name)
	job := d.State.Jobs[id]
	return ok && job != nil && !job.IsFinished()
}
