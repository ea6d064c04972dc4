package reconcile

import (
	"time"
)

// Failover follows a new leader until every machine that the records name is accounted for: it
// has reported, its worker's lease has expired, or it was released. One goroutine owns it.
type Failover struct {
	startedAt      time.Time
	overdueAfter   time.Duration // counted from loadedAt
	loadedAt       time.Time
	firstAnswerAt  time.Time
	firstCommandAt time.Time
	doneAt         time.Time
	awaited        map[string]bool // machines that are not accounted for
	reported       int
	neverReported  int
	commandCounts  map[commandKey]int
}

// NewFailover makes the failover of a term that has started. A healthy machine reports within
// overdueAfter of the moment when the records are loaded.
func NewFailover(startedAt time.Time, overdueAfter time.Duration) *Failover {
	return &Failover{
		startedAt: startedAt, overdueAfter: overdueAfter,
		awaited: map[string]bool{}, commandCounts: map[commandKey]int{},
	}
}

// ExpectMachine adds a machine of the records, unless the failover is done.
func (f *Failover) ExpectMachine(machine string) {
	if f.doneAt.IsZero() {
		f.awaited[machine] = true
	}
}

// RecordsLoaded takes in that all records are loaded, which ends the first phase.
func (f *Failover) RecordsLoaded(now time.Time) { f.loadedAt = now }

// MachineReported takes in a heartbeat under this term's fencing token.
func (f *Failover) MachineReported(machine string) {
	if f.awaited[machine] {
		delete(f.awaited, machine)
		f.reported++
	}
}

// MachineGone takes in that a machine can have no task any more, though it has not reported.
func (f *Failover) MachineGone(machine string) {
	if f.awaited[machine] {
		delete(f.awaited, machine)
		f.neverReported++
	}
}

// HeartbeatAnswered takes in that a heartbeat was answered; the term's first is noted.
func (f *Failover) HeartbeatAnswered(now time.Time) {
	if f.firstAnswerAt.IsZero() {
		f.firstAnswerAt = now
	}
}

// CommandSent takes in that a command was sent to a worker; the term's first is noted.
func (f *Failover) CommandSent(now time.Time) {
	if f.firstCommandAt.IsZero() {
		f.firstCommandAt = now
	}
}

// CountCommand counts a command to a worker, unless the failover is done.
func (f *Failover) CountCommand(op string, reason Reason) {
	if f.doneAt.IsZero() {
		f.commandCounts[commandKey{op, reason}]++
	}
}

// TryFinish ends the failover if every machine is accounted for. It returns true once.
func (f *Failover) TryFinish(now time.Time) bool {
	if f.loadedAt.IsZero() || !f.doneAt.IsZero() || len(f.awaited) > 0 {
		return false
	}
	f.doneAt = now
	return true
}

// Phase returns how far the failover is.
func (f *Failover) Phase() Phase {
	switch {
	case f.loadedAt.IsZero():
		return LoadingRecords
	case f.doneAt.IsZero():
		return AwaitingHeartbeats
	}
	return FailoverDone
}

// AwaitsCapacity tells whether machines may yet report, and with them free room for which
// nothing needs to be preempted. Machines that are overdue do not count.
func (f *Failover) AwaitsCapacity(now time.Time) bool {
	return f.Phase() == AwaitingHeartbeats && len(f.awaited) > 0 && now.Sub(f.loadedAt) < f.overdueAfter
}

// MayPreempt tells whether tasks may be preempted for a job that has waited since a moment.
// While the failover awaits capacity only a job that has waited for bound may preempt, counted
// from the load of the records at the earliest.
func (f *Failover) MayPreempt(now, waitingSince time.Time, bound time.Duration) bool {
	if waitingSince.Before(f.loadedAt) {
		waitingSince = f.loadedAt
	}
	return !f.AwaitsCapacity(now) || now.Sub(waitingSince) >= bound
}
