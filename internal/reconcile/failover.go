package reconcile

import (
	"time"
)

// Failover tracks a leader's term from its start until every machine in the records is accounted
// for: the machine has reported, its worker's lease has expired, or it was released. It must be
// used from one goroutine.
type Failover struct {
	startedAt       time.Time
	overdueAfter    time.Duration // measured from loadedAt
	loadedAt        time.Time
	firstResponseAt time.Time
	firstCommandAt  time.Time
	doneAt          time.Time
	awaitedMachines map[string]bool // machines not yet accounted for
	reported        int
	neverReported   int
	commandCounts   map[commandKey]int
}

// NewFailover returns the failover of a term that started at startedAt. A healthy machine reports
// within overdueAfter of the time at which the records are loaded.
func NewFailover(startedAt time.Time, overdueAfter time.Duration) *Failover {
	return &Failover{
		startedAt: startedAt, overdueAfter: overdueAfter,
		awaitedMachines: map[string]bool{}, commandCounts: map[commandKey]int{},
	}
}

// ExpectMachine adds a machine found in the records. It does nothing once the failover is done.
func (f *Failover) ExpectMachine(machine string) {
	if f.doneAt.IsZero() {
		f.awaitedMachines[machine] = true
	}
}

// RecordsLoaded records that all records have been loaded, which ends the first phase.
func (f *Failover) RecordsLoaded(now time.Time) { f.loadedAt = now }

// MachineReported records a heartbeat under this term's fencing token.
func (f *Failover) MachineReported(machine string) {
	if f.awaitedMachines[machine] {
		delete(f.awaitedMachines, machine)
		f.reported++
	}
}

// MachineGone records that a machine can no longer run any task, although it has not reported.
func (f *Failover) MachineGone(machine string) {
	if f.awaitedMachines[machine] {
		delete(f.awaitedMachines, machine)
		f.neverReported++
	}
}

// HeartbeatAnswered records that the leader has responded to a heartbeat. Only the first response
// of the term counts.
func (f *Failover) HeartbeatAnswered(now time.Time) {
	if f.firstResponseAt.IsZero() {
		f.firstResponseAt = now
	}
}

// CommandSent records that a command was sent to a worker. Only the first command of the
// term counts.
func (f *Failover) CommandSent(now time.Time) {
	if f.firstCommandAt.IsZero() {
		f.firstCommandAt = now
	}
}

// CountCommand counts a command to a worker. It does nothing once the failover is done.
func (f *Failover) CountCommand(op string, reason Reason) {
	if f.doneAt.IsZero() {
		f.commandCounts[commandKey{op, reason}]++
	}
}

// TryFinish ends the failover if every machine is accounted for. It returns true only for the call
// that ends it.
func (f *Failover) TryFinish(now time.Time) bool {
	if f.loadedAt.IsZero() || !f.doneAt.IsZero() || len(f.awaitedMachines) > 0 {
		return false
	}
	f.doneAt = now
	return true
}

// Phase returns the current phase of the failover.
func (f *Failover) Phase() Phase {
	switch {
	case f.loadedAt.IsZero():
		return LoadingRecords
	case f.doneAt.IsZero():
		return AwaitingHeartbeats
	}
	return FailoverDone
}

// AwaitsCapacity reports whether machines may still report and bring free capacity, so that
// nothing need be preempted. Overdue machines do not count.
func (f *Failover) AwaitsCapacity(now time.Time) bool {
	return f.Phase() == AwaitingHeartbeats && len(f.awaitedMachines) > 0 && now.Sub(f.loadedAt) < f.overdueAfter
}

// MayPreempt reports whether tasks may be preempted for a job that has waited since waitingSince.
// While the failover awaits capacity, a job may preempt only once it has waited for maxWait,
// measured from the loading of the records at the earliest.
func (f *Failover) MayPreempt(now, waitingSince time.Time, maxWait time.Duration) bool {
	if waitingSince.Before(f.loadedAt) {
		waitingSince = f.loadedAt
	}
	return !f.AwaitsCapacity(now) || now.Sub(waitingSince) >= maxWait
}
