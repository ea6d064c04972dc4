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
	batch := newCommandBatch()
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		job, _, ok := workers.SplitTask(task.Name)
		decision := reconcile.DecideOnStaleHeartbeat(task, ok && d.Host.IsCancelled(job))
		if decision.Action == reconcile.Stop {
			d.add(batch, newStopCommand(task.Name, task.Attempt, 0), decision)
		}
	}
	return &workers.HeartbeatResponse{FencingToken: d.Fencing.TermToken, Commands: batch.commands}
}

// CommandsFor returns the commands for the machine's worker, derived from the difference between
// the tasks that the worker lists and the machine's assignments. inHeartbeatResponse is set for
// the response to a heartbeat, and unset for a direct command request.
//
// Only responses clear an ended task: a worker has one heartbeat in flight, so no start in an
// earlier response can arrive after the clear. A task started by a direct command is cleared only
// once the worker has seen a higher token. From then on the worker refuses a late copy of that
// command, which would otherwise start the task again.
//
// Commands beyond the size of one message are left for the next one.
func (d *Dispatcher) CommandsFor(machine *cluster.Machine, inHeartbeatResponse bool) []workers.Command {
	batch := newCommandBatch()
	if machine.Phase == cluster.Releasing {
		return batch.commands
	}
	now := time.Now()
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || a.AgentEpoch != machine.Worker.AgentEpoch {
			continue
		}
		switch decision := reconcile.DecideCommand(d.Tasks.AttemptState(a, now)); decision.Action {
		case reconcile.Stop:
			d.add(batch, newStopCommand(a.TaskName(), a.WireAttempt(), decision.GraceS), decision)
		case reconcile.Start:
			if d.add(batch, newRunCommand(a), decision) {
				a.Start.Sent, a.Start.InResponse, a.Start.RequestInFlight = true, inHeartbeatResponse, !inHeartbeatResponse
			}
		default: // the task continues, or its command has to wait
		}
	}
	d.addOrphanCommands(machine, batch, inHeartbeatResponse)
	return batch.commands
}

// addOrphanCommands adds the commands for the orphaned tasks that the worker lists.
func (d *Dispatcher) addOrphanCommands(machine *cluster.Machine, batch *commandBatch, inHeartbeatResponse bool) {
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
			d.add(batch, newStopCommand(task.Name, task.Attempt, 0), decision)
		case decision.Action == reconcile.Acknowledge:
			d.add(batch, workers.Command{Op: workers.OpClear, Task: task.Name, Attempt: task.Attempt}, decision)
		case decision.Reason == reconcile.TokenNotSuperseded:
			heldAcks.add(task, orphan.CommandToken, d.isJobUnfinished(task))
		}
	}
	machine.Commands.NeedsHigherToken = heldAcks.needHigherToken()
	if machine.Commands.NeedsHigherToken && heldAcks.newestToken >= d.Fencing.Current {
		d.Fencing.AcknowledgementsHeld = true
	}
}

// commandBatch holds the commands of one message, which has a size that the protocol allows.
type commandBatch struct {
	commands []workers.Command
	bytes    int
}

func newCommandBatch() *commandBatch { return &commandBatch{commands: []workers.Command{}} }

// maxCommandsBytes is the size of the commands in one message. The rest is for the message's other fields.
const maxCommandsBytes = workers.MaxMessageBytes * 15 / 16

// add adds a command to a batch and counts it in the failover progress. It does nothing and returns false if the
// command does not fit.
func (d *Dispatcher) add(batch *commandBatch, command workers.Command, decision reconcile.Decision) (fits bool) {
	size := command.MaxBytes()
	if batch.bytes+size > maxCommandsBytes {
		return false
	}
	batch.bytes += size
	batch.commands = append(batch.commands, command)
	d.Failover.CountCommand(command.Op, decision.Reason)
	return true
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
