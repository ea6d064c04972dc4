package recovery

import (
	"errors"
	"fmt"

	"ospreyslip/internal/jobs"
)

// Outcome is what becomes of a lost job.
type Outcome string

// The outcomes.
const (
	Recovered       Outcome = "recovered"
	RecoveredInPart Outcome = "recovered in part" // its description is missing
	Uncertain       Outcome = "uncertain"
	Contradictory   Outcome = "contradictory"
)

// Rule is why.
type Rule string

// The rules, in the order in which they are tried.
const (
	RuleContradiction Rule = "done by one source, cancelled by another"
	RuleDone          Rule = "a job that is done stays done"
	RuleCancelled     Rule = "a job that is cancelled stays cancelled"
	RuleAllTasksDone  Rule = "every one of its tasks is done"
	RuleUnfinished    Rule = "unfinished as of the loss"
	RuleNoDescription Rule = "unfinished as of the loss, but nobody has its description"
	RuleNotHeard      Rule = "a controller that may know more has not answered"
	RuleOnWorker      Rule = "tasks on workers prove that it was accepted, not that it was not cancelled"
	RuleOldSource     Rule = "accepted by an old source, which proves neither that it is over nor that it is not"
)

// Decision is what is to be done about a lost job.
type Decision struct {
	Outcome Outcome
	Rule    Rule
	State   string // the record's: jobs.Done, jobs.Cancelled, or jobs.Queued
	Held    bool   // it is not run
	// DescriptionMissing tells of a held job that nothing but its description is missing.
	DescriptionMissing bool
}

// Final tells whether the job is over.
func (d Decision) Final() bool { return !d.Held && d.State != jobs.Queued }

// Decide judges what is known of a job. AllHeard tells whether every controller that may
// know more has answered, or is taken for gone.
func Decide(k Knowledge, allHeard bool) Decision {
	switch {
	case k.Done && k.Cancelled:
		// Either way nothing of it may run; an operator may choose the other end.
		return Decision{Outcome: Contradictory, Rule: RuleContradiction, State: jobs.Cancelled}
	case k.Done && k.TaskCount() > 0:
		return Decision{Outcome: Recovered, Rule: RuleDone, State: jobs.Done}
	case k.Cancelled:
		return Decision{Outcome: Recovered, Rule: RuleCancelled, State: jobs.Cancelled}
	case k.allTasksDone():
		return Decision{Outcome: Recovered, Rule: RuleAllTasksDone, State: jobs.Done}
	case k.Unfinished && !allHeard:
		return Decision{Outcome: Uncertain, Rule: RuleNotHeard, State: jobs.Queued, Held: true}
	case k.Unfinished && k.Spec != nil:
		return Decision{Outcome: Recovered, Rule: RuleUnfinished, State: jobs.Queued}
	case k.Unfinished:
		return Decision{Outcome: RecoveredInPart, Rule: RuleNoDescription, State: jobs.Queued, Held: true, DescriptionMissing: true}
	case len(k.RunningTasks)+len(k.CompletedTasks) > 0:
		return Decision{Outcome: Uncertain, Rule: RuleOnWorker, State: jobs.Queued, Held: true}
	}
	return Decision{Outcome: Uncertain, Rule: RuleOldSource, State: jobs.Queued, Held: true}
}

// TaskCount is how many tasks the job has, or has at least; 0 if nothing is known.
func (k Knowledge) TaskCount() int { return max(k.Tasks, k.MinTasks) }

// Record returns the job's record by a decision.
func (k Knowledge) Record(d Decision, nowMs int64) jobs.Record {
	rec := jobs.Record{State: d.State, Tasks: max(1, k.TaskCount())}
	switch {
	case d.Held:
		rec.Held = &jobs.Held{Reason: string(d.Rule), Spec: k.Spec, AtMs: k.AcceptedMs, HeldMs: nowMs, Complete: d.DescriptionMissing}
	case d.State == jobs.Queued:
		rec.Spec, rec.AtMs, rec.Restored = k.Spec, k.AcceptedMs, true
	case d.State == jobs.Cancelled:
		rec.Spec = k.Spec // its tasks count until they are gone
	}
	if d.Outcome == Contradictory {
		rec.Held = &jobs.Held{Reason: string(d.Rule), HeldMs: nowMs, Contradicts: true}
	}
	return rec
}

// Settlement is what an operator decides about a held job.
type Settlement string

// The settlements.
const (
	SettleDone      Settlement = "done"
	SettleCancelled Settlement = "cancelled"
	SettleRun       Settlement = "run"
)

// ErrRefused is why a settlement is refused.
var ErrRefused = errors.New("refused")

// Settle returns the decision that a settlement stands for, unless it contradicts proof.
// Of a contradictory job either end may be chosen, and nothing else.
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

func without(all, out []int) (left []int) {
	gone := map[int]bool{}
	for _, n := range out {
		gone[n] = true
	}
	for _, n := range all {
		if !gone[n] {
			left = append(left, n)
		}
	}
	return left
}
