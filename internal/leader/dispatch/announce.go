package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// A command request, even an empty one, carries the token of the term to a worker. The worker
// then sends a heartbeat to the new leader within half a second, and its heartbeats count as sent
// in this term. The request costs one connection per machine, in the very seconds after a
// failover in which all workers connect on their own. The leader therefore sends a request at
// once only to machines that it needs: those that may have room for pending tasks or run a task
// that must stop. The other machines have a heartbeat interval to report on their own.

// AnnounceTerm notifies the machines in the segments that may have room for a pending task or run
// a task that must stop. It follows the order of the segments.
func (d *Dispatcher) AnnounceTerm(segments []*cluster.Segment) {
	requests := d.pendingResourceRequests()
	for _, segment := range segments {
		for _, attempt := range cluster.SortedAttempts(segment.Assignments) {
			a := segment.Assignments[attempt]
			if a.Job.IsFinished() || a.Stop.Requested || d.mayHaveRoom(a.Machine, requests) {
				d.Notify(a.Machine)
			}
		}
	}
}

// AnnounceToSilentMachine notifies a machine that has not reported to this leader on its own within the
// announce delay.
func (d *Dispatcher) AnnounceToSilentMachine(machine *cluster.Machine, now time.Time) {
	worker := &machine.Worker
	isSilent := machine.Phase == cluster.Up && worker.HeartbeatAt.IsZero() && worker.Token < d.Fencing.TermToken
	if isSilent && now.Sub(machine.Cloud.KnownSince) > d.Derived.Workers.AnnounceDelay {
		d.Notify(machine)
	}
}

// pendingResourceRequests returns the distinct resource requests of the tasks of unfinished jobs.
func (d *Dispatcher) pendingResourceRequests() map[placement.Resources]bool {
	requests := map[placement.Resources]bool{}
	for _, job := range d.State.Jobs {
		if !job.IsFinished() {
			requests[placement.TaskRequest(job.Spec)] = true
		}
	}
	return requests
}

// mayHaveRoom reports whether the machine has room for any of the requests according to the
// records. A machine of unknown type may have room.
func (d *Dispatcher) mayHaveRoom(machine *cluster.Machine, requests map[placement.Resources]bool) bool {
	machineType := d.Catalog.Type(machine.Type)
	if machineType == nil {
		return true
	}
	total := placement.MachineTotal(machineType)
	free := total.AddTimes(machine.InUse(), -1)
	for request := range requests {
		if free.Fits(request) {
			return true
		}
	}
	return false
}
