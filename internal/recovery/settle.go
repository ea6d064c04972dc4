package recovery

import (
	"errors"
	"fmt"

	"ospreyslip/internal/jobs"
)

// Settlement is what an operator decides about a held job.
type Settlement string

// The settlements.
const (
	SettleDone      Settlement = "done"
	SettleCancelled Settlement = "cancelled"
	SettleRun       Settlement = "run"
)

// ErrRefused means that a settlement contradicts proof, or lacks what it needs.
var ErrRefused = errors.New("refused")

// Settle returns the decision that a settlement stands for, or an error that wraps ErrRefused
// and says why. Of a contradictory job either end may be chosen, and nothing else.
func Settle(k Knowledge, as Settlement) (Decision, error) {
	refuse := func(why string) (Decision, error) {
		return Decision{}, fmt.Errorf("%w: %s", ErrRefused, why)
	}
	d := Decision{Outcome: Recovered, Rule: Rule("settled as " + string(as))}
	switch as {
	case SettleDone:
		if k.Cancelled && !k.Done {
			return refuse("it is known to be cancelled")
		}
		if len(without(k.RunningTasks, k.CompletedTasks)) > 0 {
			return refuse(fmt.Sprintf("tasks %v are running", k.RunningTasks))
		}
		d.State = jobs.Done
	case SettleCancelled:
		if k.Done && !k.Cancelled || k.allTasksDone() {
			return refuse("it is known to be done")
		}
		d.State = jobs.Cancelled
	case SettleRun:
		if k.Done || k.Cancelled || k.allTasksDone() {
			return refuse("it is known to be over")
		}
		if k.Spec == nil {
			return refuse("nobody has its description: it comes with the next repeated submission, or a snapshot")
		}
		d.State = jobs.Queued
	default:
		return refuse(fmt.Sprintf("a job is settled as done, cancelled or run, not %q", as))
	}
	return d, nil
}

// without returns the numbers that are not among those excluded.
func without(all, excluded []int) (left []int) {
	isExcluded := map[int]bool{}
	for _, n := range excluded {
		isExcluded[n] = true
	}
	for _, n := range all {
		if !isExcluded[n] {
			left = append(left, n)
		}
	}
	return left
}
