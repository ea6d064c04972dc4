package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Phase is a phase of a failover.
type Phase string

// Phases of a failover.
const (
	LoadingRecords     Phase = "reading" // the records are being loaded
	AwaitingHeartbeats Phase = "hearing" // not all machines in the records are accounted for
	FailoverDone       Phase = "settled" // all machines are accounted for
)

// CommandCount is the number of commands of one operation sent to workers for one reason.
type CommandCount struct {
	Op     string `json:"op"`
	Reason Reason `json:"reason"`
	Count  int    `json:"count"`
}

// String returns the count as shown in logs.
func (c CommandCount) String() string { return fmt.Sprintf("%s (%s): %d", c.Op, c.Reason, c.Count) }

// commandKey is the operation and reason by which commands are counted.
type commandKey struct {
	op     string
	reason Reason
}

// Progress is the state of a failover as shown to operators in the status and in logs. Times are
// in seconds since the term started; 0 means that the event has not happened.
type Progress struct {
	Phase    Phase `json:"phase"`
	Expected int   `json:"expected"` // machines in the records
	Reported int   `json:"heard"`
	Overdue  int   `json:"late"` // machines not accounted for by the time healthy ones would have reported
	// NeverReported counts the machines accounted for without a heartbeat: the worker's lease
	// expired, or the machine was released.
	NeverReported  int     `json:"never"`
	RecordsLoadedS float64 `json:"readS"`
	FirstResponseS float64 `json:"answerS"` // first response to a heartbeat
	FirstCommandS  float64 `json:"orderS"`  // first command sent outside a heartbeat response
	DoneS          float64 `json:"settledS"`
	// Commands counts the commands sent before the failover was done, by operation and reason.
	Commands []CommandCount `json:"commands"`
}

// Progress returns the state of the failover at the given time.
func (f *Failover) Progress(now time.Time) Progress {
	progress := Progress{
		Phase:          f.Phase(),
		Expected:       f.reported + f.neverReported + len(f.awaitedMachines),
		Reported:       f.reported,
		NeverReported:  f.neverReported,
		RecordsLoadedS: f.secondsSinceStart(f.loadedAt),
		FirstResponseS: f.secondsSinceStart(f.firstResponseAt),
		FirstCommandS:  f.secondsSinceStart(f.firstCommandAt),
		DoneS:          f.secondsSinceStart(f.doneAt),
		Commands:       f.sortedCommandCounts(),
	}
	if !f.loadedAt.IsZero() && now.Sub(f.loadedAt) >= f.overdueAfter {
		progress.Overdue = len(f.awaitedMachines)
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

// secondsSinceStart returns the seconds from the start of the term until at, or 0 if at is zero.
func (f *Failover) secondsSinceStart(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(f.startedAt).Seconds()
}
