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
	Reading Phase = "reading" // the records are being read
	Hearing Phase = "hearing" // machines that the records name have not all been accounted for
	Settled Phase = "settled" // each of them has reported, or its lease has ended
)

// Commands is how often workers were told to do something for one reason.
type Commands struct {
	Op     string `json:"op"`
	Reason Reason `json:"reason"`
	Count  int    `json:"count"`
}

func (c Commands) String() string { return fmt.Sprintf("%s (%s): %d", c.Op, c.Reason, c.Count) }

// commandKind is what commands are counted by.
type commandKind struct {
	op     string
	reason Reason
}

// Progress is a take-over as operators see it. Times are in seconds since the term began; 0
// means not yet.
type Progress struct {
	Phase    Phase   `json:"phase"`
	Expected int     `json:"expected"` // machines that the records name
	Heard    int     `json:"heard"`
	Late     int     `json:"late"`  // not heard for longer than a machine that is well needs
	Never    int     `json:"never"` // whose lease ended, or that were given back, without a word
	ReadS    float64 `json:"readS"`
	AnswerS  float64 `json:"answerS"` // first report answered
	OrderS   float64 `json:"orderS"`  // first order sent
	SettledS float64 `json:"settledS"`
	// Commands until it was settled, in order.
	Commands []Commands `json:"commands"`
}

// Takeover follows a new leader until it knows what became of every machine that the
// records name.
type Takeover struct {
	began     time.Time
	lateAfter time.Duration // since the records were read
	read      time.Time
	answered  time.Time
	ordered   time.Time
	settled   time.Time
	open      map[string]bool // machines that are expected still
	heard     int
	never     int
	commands  map[commandKind]int
}

// NewTakeover begins with the term. A machine that is well reports within lateAfter.
func NewTakeover(began time.Time, lateAfter time.Duration) *Takeover {
	return &Takeover{began: began, lateAfter: lateAfter, open: map[string]bool{}, commands: map[commandKind]int{}}
}

// Expect adds a machine that may have tasks, or room.
func (t *Takeover) Expect(machine string) {
	if !t.settled.IsZero() || t.open[machine] {
		return
	}
	t.open[machine] = true
}

// RecordsRead ends the first phase.
func (t *Takeover) RecordsRead(now time.Time) { t.read = now }

// Heard takes in that a machine has reported under this term's token.
func (t *Takeover) Heard(machine string) {
	if t.open[machine] {
		delete(t.open, machine)
		t.heard++
	}
}

// Gone takes in that nothing can be on a machine any more, though it has not reported.
func (t *Takeover) Gone(machine string) {
	if t.open[machine] {
		delete(t.open, machine)
		t.never++
	}
}

// Answered takes in that a report was answered.
func (t *Takeover) Answered(now time.Time) {
	if t.answered.IsZero() {
		t.answered = now
	}
}

// Ordered takes in that an order went out.
func (t *Takeover) Ordered(now time.Time) {
	if t.ordered.IsZero() {
		t.ordered = now
	}
}

// Told counts a command to a worker.
func (t *Takeover) Told(op string, why Reason) {
	if t.settled.IsZero() {
		t.commands[commandKind{op, why}]++
	}
}

// Settle ends the take-over when nothing is expected any more. It returns true once.
func (t *Takeover) Settle(now time.Time) bool {
	if t.read.IsZero() || !t.settled.IsZero() || len(t.open) > 0 {
		return false
	}
	t.settled = now
	return true
}

// Phase returns how far it is.
func (t *Takeover) Phase() Phase {
	switch {
	case t.read.IsZero():
		return Reading
	case t.settled.IsZero():
		return Hearing
	}
	return Settled
}

// ExpectsRoom tells whether machines that are well may yet report, and with them room that
// nothing needs to be stopped for. Those that are late do not count.
func (t *Takeover) ExpectsRoom(now time.Time) bool {
	return t.Phase() == Hearing && len(t.open) > 0 && now.Sub(t.read) < t.lateAfter
}

// MayPreempt tells whether work that has waited since a moment may have others stopped for
// it: until machines that are expected have reported, or are late, only what has waited for
// as long as its bound.
func (t *Takeover) MayPreempt(now, waitsSince time.Time, bound time.Duration) bool {
	if waitsSince.Before(t.read) {
		waitsSince = t.read
	}
	return !t.ExpectsRoom(now) || now.Sub(waitsSince) >= bound
}

// Progress returns what is known by a moment.
func (t *Takeover) Progress(now time.Time) Progress {
	p := Progress{
		Phase: t.Phase(), Expected: t.heard + t.never + len(t.open), Heard: t.heard, Never: t.never, Commands: t.tallies(),
		ReadS: t.since(t.read), AnswerS: t.since(t.answered), OrderS: t.since(t.ordered), SettledS: t.since(t.settled),
	}
	if !t.read.IsZero() && now.Sub(t.read) >= t.lateAfter {
		p.Late = len(t.open)
	}
	return p
}

func (t *Takeover) tallies() []Commands {
	all := make([]Commands, 0, len(t.commands))
	for kind, count := range t.commands {
		all = append(all, Commands{kind.op, kind.reason, count})
	}
	slices.SortFunc(all, func(a, b Commands) int {
		return cmp.Or(cmp.Compare(a.Op, b.Op), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

func (t *Takeover) since(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(t.began).Seconds()
}
