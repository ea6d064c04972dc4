package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// Answer is the answer to a heartbeat that was taken in: the commands for the worker.
func (d *Dispatcher) Answer(machine *cluster.Machine) *workers.HeartbeatResponse {
	commands := d.CommandsFor(machine, true)
	machine.Commands.LastAnswer = commands
	return &workers.HeartbeatResponse{FencingToken: d.TokenFor(machine), Commands: commands}
}

// AnswerStale is the answer to a heartbeat that shows a token of an earlier term. Any answer renews
// the worker's lease: were it without stops for the tasks of cancelled jobs, and this leader to
// end before the next heartbeat, they would run for a whole lease more, and one leader after the
// other could give them that. To stop them is right however old the heartbeat is.
func (d *Dispatcher) AnswerStale(heartbeat *workers.Heartbeat) *workers.HeartbeatResponse {
	commands := []workers.Command{}
	for _, task := range heartbeat.Tasks {
		job, _, ok := workers.SplitTask(task.Name)
		decision := reconcile.DecideOnStaleHeartbeat(&task, ok && d.Host.IsCancelled(job))
		if decision.Action == reconcile.Stop {
			commands = append(commands, d.count(stopCommand(task.Name, task.Attempt, 0), decision))
		}
	}
	return &workers.HeartbeatResponse{FencingToken: d.Fencing.OfTerm, Commands: commands}
}

// CommandsFor returns what the worker should do, from the difference between what it shows and
// what is assigned to it. An ended task is cleared by answers only: there is one heartbeat in
// flight, so that no start in an earlier answer can follow the clear. A task that was started by
// a direct command is cleared when the worker has seen a higher token: it then refuses a late
// copy of that command, which would start the task once more.
func (d *Dispatcher) CommandsFor(machine *cluster.Machine, inAnswer bool) []workers.Command {
	commands := []workers.Command{}
	if machine.Phase == cluster.Releasing {
		return commands
	}
	now := time.Now()
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || a.Session != machine.Worker.Session {
			continue
		}
		switch decision := reconcile.DecideCommand(d.Tasks.Facts(a, now)); decision.Action {
		case reconcile.Stop:
			commands = append(commands, d.count(stopCommand(a.TaskName(), a.WireAttempt(), decision.GraceS), decision))
		case reconcile.Start:
			a.Start.Sent, a.Start.RequestInFlight = true, !inAnswer
			commands = append(commands, d.count(runCommand(a), decision))
		default: // it goes on, or has to wait
		}
	}
	return d.addOrphanCommands(machine, commands, inAnswer)
}

// addOrphanCommands adds what the worker should do with tasks that are not assigned to it.
func (d *Dispatcher) addOrphanCommands(machine *cluster.Machine, commands []workers.Command, inAnswer bool) []workers.Command {
	var held heldAcknowledgements
	for _, task := range machine.Worker.Tasks {
		ref := cluster.RefOf(&task)
		if machine.FindAssignment(ref) != nil {
			continue // its end is not durable yet
		}
		job, _, _ := workers.SplitTask(task.Name)
		orphan := reconcile.OrphanedTask{
			Ended: task.State == workers.StateEnded, JobCancelled: d.Host.IsCancelled(job),
			RecordsIncomplete: d.Host.LeaveAlone(machine, &task),
			CommandToken:      machine.Commands.StartedByRequest[ref], WorkerToken: machine.Worker.Token, InHeartbeatAnswer: inAnswer,
		}
		switch decision := orphan.DecideCommand(); {
		case decision.Action == reconcile.Stop:
			commands = append(commands, d.count(stopCommand(task.Name, task.Attempt, 0), decision))
		case decision.Action == reconcile.Acknowledge:
			commands = append(commands, d.count(workers.Command{Op: workers.OpClear, Task: task.Name, Attempt: task.Attempt}, decision))
		case decision.Reason == reconcile.TokenNotSuperseded:
			held.add(&task, orphan.CommandToken, d.mayRunAgain(&task))
		}
	}
	machine.Commands.NeedsHigherToken = held.needHigherToken()
	if machine.Commands.NeedsHigherToken && held.newestToken >= d.Fencing.Current {
		d.Fencing.AcknowledgementsHeld = true
	}
	return commands
}

// count counts a command to a worker, for the progress of a failover.
func (d *Dispatcher) count(command workers.Command, decision reconcile.Decision) workers.Command {
	d.Failover.CountCommand(command.Op, decision.Reason)
	return command
}

func runCommand(assignment *cluster.Assignment) workers.Command {
	return workers.Command{Op: workers.OpRun, Task: assignment.TaskName(), Attempt: assignment.WireAttempt()}
}

func stopCommand(task string, attempt uint64, graceS float64) workers.Command {
	return workers.Command{Op: workers.OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// mayRunAgain tells whether an ended task's job is still to be worked on.
func (d *Dispatcher) mayRunAgain(task *workers.TaskStatus) bool {
	id, _, ok := workers.SplitTask(task.Name)
	job := d.State.Jobs[id]
	return ok && job != nil && !job.IsOver()
}
