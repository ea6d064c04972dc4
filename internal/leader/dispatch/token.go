package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// The token is raised within a term so that commands that are still on their way are refused from
// then on. A worker that sees a higher token sends one heartbeat more for it: with thousands of
// workers that is a sixth of all heartbeats. So a machine is told of it only if something there
// waits for it; the others go on with the one that they know, which is as good, as it is of this
// term.

// TokenFor is the token in answers and commands to a machine.
func (d *Dispatcher) TokenFor(machine *cluster.Machine) uint64 {
	if machine.Commands.NeedsHigherToken || !machine.Commands.InDoubtSince.IsZero() {
		return d.Fencing.Current
	}
	return max(machine.Worker.Token, d.Fencing.OfTerm)
}

// MaxHeldAcknowledgements is how many ended tasks may stay in a machine's heartbeats for want of a
// higher token. Each makes every heartbeat a little longer; clearing them costs two heartbeats.
const MaxHeldAcknowledgements = 8

// heldAcknowledgements are the ended tasks of a machine that cannot be cleared yet: they were
// started by commands that its worker would still accept a copy of.
type heldAcknowledgements struct {
	count       int
	urgent      bool   // a task that may run again; its worker would refuse it until then
	newestToken uint64 // of the commands that started them
}

func (h *heldAcknowledgements) add(task *workers.TaskStatus, commandToken uint64, mayRunAgain bool) {
	h.count++
	h.newestToken = max(h.newestToken, commandToken)
	h.urgent = h.urgent || mayRunAgain && task.Cause != workers.CauseDone
}

// needHigherToken tells whether the machine is to see a higher token.
func (h *heldAcknowledgements) needHigherToken() bool {
	return h.urgent || h.count >= MaxHeldAcknowledgements
}

// ResolveInDoubt asks for a higher token where commands have been in doubt for long, and once in a
// lease where an ended task waits for it to be cleared.
func (d *Dispatcher) ResolveInDoubt(now time.Time) {
	raise := d.Fencing.AcknowledgementsHeld && now.Sub(d.Fencing.RaisedAt) > d.Derived.Workers.Lease
	for machine := range d.inDoubt {
		if machine.Commands.InDoubtSince.IsZero() || !d.State.Machines.Contains(machine) {
			delete(d.inDoubt, machine)
			continue
		}
		inDoubt, overdue := d.startsInDoubt(machine, now)
		raise = raise || overdue
		if !inDoubt {
			machine.Commands.InDoubtSince = time.Time{}
			d.Notify(machine)
		}
	}
	if raise {
		d.Fencing.RequestRaise()
		d.Fencing.RaisedAt = now // once, however long the write takes
	}
}

// startsInDoubt tells whether starts on a machine are in doubt, and whether one has been for so
// long that a higher token should end that.
func (d *Dispatcher) startsInDoubt(machine *cluster.Machine, now time.Time) (inDoubt, overdue bool) {
	waitedLong := now.Sub(machine.Commands.InDoubtSince) > d.Derived.Workers.InDoubtTimeout &&
		now.Sub(d.Fencing.RaisedAt) > d.Derived.Leader.ControlInterval
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 {
			inDoubt = true
			overdue = overdue || a.Start.InDoubtToken == d.Fencing.Current && waitedLong
		}
	}
	return inDoubt, overdue
}

// MayStartCancelled tells whether a command on its way may still start a task whose job is
// cancelled. A higher token ends that, but in an outage of the key-value store there is none to
// be had. Then the worker's lease has to end in time, and with it the session that the command
// is for.
func (d *Dispatcher) MayStartCancelled(machine *cluster.Machine, now time.Time) bool {
	if machine.Commands.InDoubtSince.IsZero() {
		return false
	}
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 && a.Job.End.Cancelled &&
			now.Sub(a.Job.End.CancelSeenAt) > d.Derived.Store.MaxStaleness/2 {
			return true
		}
	}
	return false
}
