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
