package recovery

import (
	"errors"
	"fmt"

	"ospreyslip/internal/jobs"
)

// Settlement is an operator's decision about a held job.
type Settlement string

// The settlements.
const (
	SettleDone      Settlement = "done"
	SettleCancelled Settlement = "cancelled"
	SettleRun       Settlement = "run"
)

// ErrRefused is returned for a settlement that contradicts proof, or for which knowledge is
// missing.
var ErrRefused = errors.New("refused")

// Settle returns the decision that implements a settlement, or an error that wraps ErrRefused and
// states the reason. A contradictory job may be settled as done or as cancelled only.
func Settle(known Knowledge, settlement Settlement) (Decision, error) {
	refuse := func(why string) (Decision, error) {
		return Decision{}, fmt.Errorf("%w: %s", ErrRefused, why)
	}
	decision := Decision{Outcome: Recovered, Rule: Rule("settled as " + string(settlement))}
	switch settlement {
	case SettleDone:
		if known.Cancelled && !known.Done {
			return refuse("it is known to be cancelled")
		}
		if len(difference(known.RunningTasks, known.CompletedTasks)) > 0 {
			return refuse(fmt.Sprintf("tasks %v are running", known.RunningTasks))
		}
		decision.State = jobs.Done
	case SettleCancelled:
		if known.Done && !known.Cancelled || known.allTasksDone() {
			return refuse("it is known to be done")
		}
		decision.State = jobs.Cancelled
	case SettleRun:
		if known.Done || known.Cancelled || known.allTasksDone() {
			return refuse("it is known to be over")
		}
		if known.Spec == nil {
			return refuse("nobody has its description: it comes with the next repeated submission, or a snapshot")
		}
		decision.State = jobs.Queued
	default:
		return refuse(fmt.Sprintf("a job is settled as done, cancelled or run, not %q", settlement))
	}
	return decision, nil
}

// difference returns the numbers in all that are not in excluded.
func difference(all, excluded []int) (remaining []int) {
	isExcluded := map[int]bool{}
	for _, n := range excluded {
		isExcluded[n] = true
	}
	for _, n := range all {
		if !isExcluded[n] {
			remaining = append(remaining, n)
		}
	}
	return remaining
}
