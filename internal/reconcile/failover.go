package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Phase is how far a take-over is.
type Phase string

// The phases.
const (
	LoadingRecords     Phase = "reading" // the records are being read
	AwaitingHeartbeats Phase = "hearing" // machines that the records name have not all been accounted for
	FailoverDone       Phase = "settled" // each of them has reported, or its lease has ended
)

// CommandCount is how often workers were told to do something for one reason.
type CommandCount struct {
	Op     string `json:"op"`
	Reason Reason `json:"reason"`
	Count  int    `json:"count"`
}

func (c CommandCount) String() string { return fmt.Sprintf("%s (%s): %d", c.Op, c.Reason, c.Count) }

// commandKey is what commands are counted by.
type commandKey struct {
	op     string
	reason Reason
}

// Progress is a take-over as operators see it. Times are in seconds since the term began; 0
// means not yet.
type Progress struct {
	Phase          Phase   `json:"phase"`
	Expected       int     `json:"expected"` // machines that the records name
	Reported       int     `json:"heard"`
	Overdue        int     `json:"late"`  // not heard for longer than a machine that is well needs
	NeverReported  int     `json:"never"` // whose lease ended, or that were given back, without a word
	RecordsLoadedS float64 `json:"readS"`
	FirstAnswerS   float64 `json:"answerS"` // first report answered
	FirstCommandS  float64 `json:"orderS"`  // first order sent
	DoneS          float64 `json:"settledS"`
	// Commands until it was settled, in order.
	Commands []CommandCount `json:"commands"`
}

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

// Progress returns what is known by a moment.
func (t *Failover) Progress(now time.Time) Progress {
	progress := Progress{
		Phase: t.Phase(), Expected: t.reported + t.neverReported + len(t.awaited), Reported: t.reported, NeverReported: t.neverReported, Commands: t.sortedCommandCounts(),
		RecordsLoadedS: t.secondsSinceStart(t.loadedAt), FirstAnswerS: t.secondsSinceStart(t.firstAnswerAt), FirstCommandS: t.secondsSinceStart(t.firstCommandAt), DoneS: t.secondsSinceStart(t.doneAt),
	}
	if !t.loadedAt.IsZero() && now.Sub(t.loadedAt) >= t.overdueAfter {
		progress.Overdue = len(t.awaited)
	}
	return progress
}

func (t *Failover) sortedCommandCounts() []CommandCount {
	all := make([]CommandCount, 0, len(t.commandCounts))
	for kind, count := range t.commandCounts {
		all = append(all, CommandCount{kind.op, kind.reason, count})
	}
	slices.SortFunc(all, func(a, b CommandCount) int {
		return cmp.Or(cmp.Compare(a.Op, b.Op), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

func (t *Failover) secondsSinceStart(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(t.startedAt).Seconds()
}
