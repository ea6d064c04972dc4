package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Phase is how far a failover is.
type Phase string

// The phases.
const (
	LoadingRecords     Phase = "reading" // the records are being loaded
	AwaitingHeartbeats Phase = "hearing" // not all machines that the records name are accounted for
	FailoverDone       Phase = "settled" // all of them are
)

// CommandCount is how often workers were sent a command for one reason.
type CommandCount struct {
	Op     string `json:"op"`
	Reason Reason `json:"reason"`
	Count  int    `json:"count"`
}

// String returns the count as logs show it.
func (c CommandCount) String() string { return fmt.Sprintf("%s (%s): %d", c.Op, c.Reason, c.Count) }

// commandKey is what commands are counted by: the operation and the reason.
type commandKey struct {
	op     string
	reason Reason
}

// Progress is a failover as operators see it, in the status and in logs. Times are in seconds
// since the term began; 0 means not yet.
type Progress struct {
	Phase          Phase   `json:"phase"`
	Expected       int     `json:"expected"` // machines that the records name
	Reported       int     `json:"heard"`
	Overdue        int     `json:"late"`  // of those that are not accounted for: healthy ones would have reported
	NeverReported  int     `json:"never"` // accounted for without a heartbeat: the worker's lease expired, or the machine was released
	RecordsLoadedS float64 `json:"readS"`
	FirstAnswerS   float64 `json:"answerS"` // first heartbeat answered
	FirstCommandS  float64 `json:"orderS"`  // first command sent outside of such answers
	DoneS          float64 `json:"settledS"`
	// Commands until the failover was done, by operation and reason.
	Commands []CommandCount `json:"commands"`
}

// Progress returns how far the failover is at a moment.
func (f *Failover) Progress(now time.Time) Progress {
	progress := Progress{
		Phase:          f.Phase(),
		Expected:       f.reported + f.neverReported + len(f.awaited),
		Reported:       f.reported,
		NeverReported:  f.neverReported,
		RecordsLoadedS: f.secondsSinceStart(f.loadedAt),
		FirstAnswerS:   f.secondsSinceStart(f.firstAnswerAt),
		FirstCommandS:  f.secondsSinceStart(f.firstCommandAt),
		DoneS:          f.secondsSinceStart(f.doneAt),
		Commands:       f.sortedCommandCounts(),
	}
	if !f.loadedAt.IsZero() && now.Sub(f.loadedAt) >= f.overdueAfter {
		progress.Overdue = len(f.awaited)
	}
	return progress
}

func (f *Failover) sortedCommandCounts() []CommandCount {
	all := make([]CommandCount, 0, len(f.commandCounts))
	for key, count := range f.commandCounts {
		all = append(all, CommandCount{key.op, key.reason, count})
	}
	slices.SortFunc(all, func(a, b CommandCount) int {
		return cmp.Or(cmp.Compare(a.Op, b.Op), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// secondsSinceStart returns 0 for a moment that has not come.
func (f *Failover) secondsSinceStart(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(f.startedAt).Seconds()
}
