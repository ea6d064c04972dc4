package dispatch

import (
	"log/slog"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// MaxUndelivered is how many answers in a row may go undelivered.
const MaxUndelivered = 2

// CheckDelivery finds machines whose heartbeats arrive while the answers do not: what an answer
// asked for has not happened by the next heartbeat. Such a machine would look healthy for ever,
// and task after task would be given to it in vain.
func (d *Dispatcher) CheckDelivery(machine *cluster.Machine, heartbeat *workers.Heartbeat) {
	commands := &machine.Commands
	if heartbeat.AgentEpoch > machine.Worker.Session || len(commands.LastAnswer) == 0 {
		return // nothing to be learnt
	}
	if anyCarriedOut(machine, heartbeat) {
		commands.UndeliveredAnswers = 0
		d.Detector.MarkReachable(machine.ID)
		return
	}
	commands.UndeliveredAnswers++
	if commands.UndeliveredAnswers == MaxUndelivered {
		slog.Info("machine does not carry out commands", "machine", machine.ID, "term", d.Fencing.Current)
		d.Detector.MarkUnreachable(machine.ID)
		d.Planner.Requested = true
	}
}

// anyCarriedOut tells whether any command of the last answer shows in a heartbeat.
func anyCarriedOut(machine *cluster.Machine, heartbeat *workers.Heartbeat) bool {
	for _, command := range machine.Commands.LastAnswer {
		ref := cluster.CommandRef(&command)
		if isCarriedOut(command.Op, cluster.FindTask(heartbeat, ref), machine.FindAssignment(ref)) {
			return true
		}
	}
	return false
}

// isCarriedOut tells whether a command was, by how the worker shows its task; nil if it does not.
func isCarriedOut(op string, task *workers.TaskStatus, assignment *cluster.Assignment) bool {
	switch {
	case op == workers.OpRun:
		return task != nil
	case op == workers.OpClear:
		return task == nil
	case assignment != nil && assignment.Job.IsGang() && task != nil && task.State == workers.StateRunning:
		return true // it runs on, in its heartbeat, until all have saved
	case task == nil:
		return true
	}
	return task.State != workers.StateRunning && task.State != workers.StateFetching && task.State != workers.StateGathering
}
