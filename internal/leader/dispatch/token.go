package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// The leader raises the fencing token within a term so that workers refuse commands that are still
// in flight. A worker that sees a higher token sends an extra heartbeat; with thousands of workers
// these would be a sixth of all heartbeats. A raised token is therefore sent only to machines where
// something waits for it. The others keep the token that they know, which is equally valid because
// it belongs to the same term.

// TokenFor returns the fencing token for responses and commands to the machine.
func (d *Dispatcher) TokenFor(machine *cluster.Machine) uint64 {
	if machine.Commands.NeedsHigherToken || !machine.Commands.InDoubtSince.IsZero() {
		return d.Fencing.Current
	}
	return max(machine.Worker.Token, d.Fencing.TermToken)
}

// MaxHeldAcknowledgements is the number of ended tasks awaiting a higher token at which the machine
// is sent one. Each such task makes every heartbeat longer; clearing them costs two heartbeats.
const MaxHeldAcknowledgements = 8

// heldAcknowledgements summarizes the ended tasks of a machine that cannot be cleared yet because
// its worker would still accept a late copy of the command that started them.
type heldAcknowledgements struct {
	count       int
	urgent      bool   // one may have to run again, and its worker refuses it until it is cleared
	newestToken uint64 // the highest token of the commands that started them
}

func (h *heldAcknowledgements) add(task *workers.TaskStatus, commandToken uint64, isJobUnfinished bool) {
	h.count++
	h.newestToken = max(h.newestToken, commandToken)
	h.urgent = h.urgent || isJobUnfinished && task.Cause != workers.CauseDone
}

// needHigherToken reports whether the machine should be sent a higher token.
func (h *heldAcknowledgements) needHigherToken() bool {
	return h.urgent || h.count >= MaxHeldAcknowledgements
}

// ResolveInDoubt requests a higher token if a start command has been in doubt for longer than the
// in-doubt timeout, and at most once per worker lease if ended tasks cannot be cleared without one.
// It clears the in-doubt state of machines on which no start command is in doubt any more.
func (d *Dispatcher) ResolveInDoubt(now time.Time) {
	raiseNeeded := d.Fencing.AcknowledgementsHeld && now.Sub(d.Fencing.RaiseRequestedAt) > d.Derived.Workers.Lease
	for machine := range d.machinesInDoubt {
		if machine.Commands.InDoubtSince.IsZero() || !d.State.Machines.Contains(machine) {
			delete(d.machinesInDoubt, machine)
			continue
		}
		inDoubt, overdue := d.startsInDoubt(machine, now)
		raiseNeeded = raiseNeeded || overdue
		if !inDoubt {
			machine.Commands.InDoubtSince = time.Time{}
			d.Notify(machine)
		}
	}
	if raiseNeeded {
		d.Fencing.RequestRaise()
		d.Fencing.RaiseRequestedAt = now // the time of the request: a slow write must not cause a second one
	}
}

// startsInDoubt reports whether any start command to the machine is in doubt, and whether one has
// been in doubt for so long that the token should be raised to invalidate it.
func (d *Dispatcher) startsInDoubt(machine *cluster.Machine, now time.Time) (inDoubt, overdue bool) {
	timedOut := now.Sub(machine.Commands.InDoubtSince) > d.Derived.Workers.InDoubtTimeout &&
		now.Sub(d.Fencing.RaiseRequestedAt) > d.Derived.Leader.ControlInterval
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 {
			inDoubt = true
			overdue = overdue || a.Start.InDoubtToken == d.Fencing.Current && timedOut
		}
	}
	return inDoubt, overdue
}

// MayStartCancelled reports whether a command in flight may still start a task of a cancelled
// job, so that the worker's lease must not be renewed. A higher token would invalidate the
// command, but the token cannot be raised during an outage of the key-value store. The worker's
// lease then has to expire in time: that ends the agent epoch for which the command was sent.
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
