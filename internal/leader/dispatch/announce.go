package dispatch

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// A command request, even an empty one, shows a worker the token of the term: what it shows becomes
// conclusive, and it sends a heartbeat within half a second, to the new leader. After a failover
// that costs a connection for each machine, in the seconds in which all workers connect by
// themselves. So only those machines get one at once of which something is wanted: room for work,
// or the end of a task. The others have a heartbeat interval to report by themselves.

// AnnounceTerm notifies the machines with assignments that cannot wait, in the order given.
func (d *Dispatcher) AnnounceTerm(segments []*cluster.Segment) {
	requests := d.pendingRequests()
	for _, segment := range segments {
		for _, attempt := range cluster.SortedAttempts(segment.Begun) {
			a := segment.Begun[attempt]
			if a.Job.IsOver() || a.Stop.Requested || d.mayHaveRoom(a.Machine, requests) {
				d.Notify(a.Machine)
			}
		}
	}
}

// AnnounceToSilent notifies a machine that has not reported to this leader by itself.
func (d *Dispatcher) AnnounceToSilent(machine *cluster.Machine, now time.Time) {
	worker := &machine.Worker
	isSilent := machine.Phase == cluster.Up && worker.HeartbeatAt.IsZero() && worker.Token < d.Fencing.OfTerm
	if isSilent && now.Sub(machine.Rental.KnownSince) > d.Derived.Workers.AnnounceDelay {
		d.Notify(machine)
	}
}

// pendingRequests returns what the tasks of unfinished jobs take, each amount once.
func (d *Dispatcher) pendingRequests() map[placement.Resources]bool {
	requests := map[placement.Resources]bool{}
	for _, job := range d.State.Jobs {
		if !job.IsOver() {
			requests[placement.TaskRequest(job.Spec)] = true
		}
	}
	return requests
}

// mayHaveRoom tells whether a machine has room for one more task, as far as the records tell. One
// of unknown type may have.
func (d *Dispatcher) mayHaveRoom(machine *cluster.Machine, requests map[placement.Resources]bool) bool {
	machineType := d.Catalog.Type(machine.Type)
	if machineType == nil {
		return true
	}
	total := placement.MachineTotal(machineType)
	free := total.AddTimes(machine.Used, -1)
	for request := range requests {
		if free.Fits(request) {
			return true
		}
	}
	return false
}
