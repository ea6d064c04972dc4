package reconcile

import (
	"time"
)

// Failover follows a new leader until it knows what became of every machine that the
// records name.
type Failover struct {
	startedAt      time.Time
	overdueAfter   time.Duration // since the records were read
	loadedAt       time.Time
	firstAnswerAt  time.Time
	firstCommandAt time.Time
	doneAt         time.Time
	awaited        map[string]bool // machines that are expected still
	reported       int
	neverReported  int
	commandCounts  map[commandKey]int
}

// NewFailover begins with the term. A machine that is well reports within lateAfter.
func NewFailover(began time.Time, lateAfter time.Duration) *Failover {
	return &Failover{startedAt: began, overdueAfter: lateAfter, awaited: map[string]bool{}, commandCounts: map[commandKey]int{}}
}

// ExpectMachine adds a machine that may have tasks, or room.
func (t *Failover) ExpectMachine(machine string) {
	if !t.doneAt.IsZero() || t.awaited[machine] {
		return
	}
	t.awaited[machine] = true
}

// RecordsLoaded ends the first phase.
func (t *Failover) RecordsLoaded(now time.Time) { t.loadedAt = now }

// MachineReported takes in that a machine has reported under this term's token.
func (t *Failover) MachineReported(machine string) {
	if t.awaited[machine] {
		delete(t.awaited, machine)
		t.reported++
	}
}

// MachineGone takes in that nothing can be on a machine any more, though it has not reported.
func (t *Failover) MachineGone(machine string) {
	if t.awaited[machine] {
		delete(t.awaited, machine)
		t.neverReported++
	}
}

// HeartbeatAnswered takes in that a report was answered.
func (t *Failover) HeartbeatAnswered(now time.Time) {
	if t.firstAnswerAt.IsZero() {
		t.firstAnswerAt = now
	}
}

// CommandSent takes in that an order went out.
func (t *Failover) CommandSent(now time.Time) {
	if t.firstCommandAt.IsZero() {
		t.firstCommandAt = now
	}
}

// CountCommand counts a command to a worker.
func (t *Failover) CountCommand(op string, why Reason) {
	if t.doneAt.IsZero() {
		t.commandCounts[commandKey{op, why}]++
	}
}

// TryFinish ends the take-over when nothing is expected any more. It returns true once.
func (t *Failover) TryFinish(now time.Time) bool {
	if t.loadedAt.IsZero() || !t.doneAt.IsZero() || len(t.awaited) > 0 {
		return false
	}
	t.doneAt = now
	return true
}

// Phase returns how far it is.
func (t *Failover) Phase() Phase {
	switch {
	case t.loadedAt.IsZero():
		return LoadingRecords
	case t.doneAt.IsZero():
		return AwaitingHeartbeats
	}
	return FailoverDone
}

// AwaitsCapacity tells whether machines that are well may yet report, and with them room that
// nothing needs to be stopped for. Those that are late do not count.
func (t *Failover) AwaitsCapacity(now time.Time) bool {
	return t.Phase() == AwaitingHeartbeats && len(t.awaited) > 0 && now.Sub(t.loadedAt) < t.overdueAfter
}

// MayPreempt tells whether work that has waited since a moment may have others stopped for
// it: until machines that are expected have reported, or are late, only what has waited for
// as long as its bound.
func (t *Failover) MayPreempt(now, waitingSince time.Time, bound time.Duration) bool {
	if waitingSince.Before(t.loadedAt) {
		waitingSince = t.loadedAt
	}
	return !t.AwaitsCapacity(now) || now.Sub(waitingSince) >= bound
}
