package recovery

import "ospreyslip/internal/jobs"

// Outcome classifies the decision about a lost job. Its values are shown to operators and counted
// in metrics.
type Outcome string

// The outcomes.
const (
	Recovered          Outcome = "recovered"
	PartiallyRecovered Outcome = "recovered in part" // the job's description is missing
	Uncertain          Outcome = "uncertain"
	Contradictory      Outcome = "contradictory"
)

// Rule is the rule that led to a decision. Its values are shown to operators and stored with held
// jobs.
type Rule string

// The rules, in the order in which Decide tries them.
const (
	RuleContradiction   Rule = "done by one source, cancelled by another"
	RuleDone            Rule = "a job that is done stays done"
	RuleCancelled       Rule = "a job that is cancelled stays cancelled"
	RuleAllTasksDone    Rule = "every one of its tasks is done"
	RuleUnfinished      Rule = "unfinished as of the loss"
	RuleNoDescription   Rule = "unfinished as of the loss, but nobody has its description"
	RuleResponseMissing Rule = "a controller that may know more has not answered"
	RuleTasksOnWorkers  Rule = "tasks on workers prove that it was accepted, not that it was not cancelled"
	RuleOldSource       Rule = "accepted by an old source, which proves neither that it is over nor that it is not"
)

// Decision is the decision about a lost job.
type Decision struct {
	Outcome Outcome
	Rule    Rule
	State   string // of the record to be written: jobs.Done, jobs.Cancelled or jobs.Queued
	Held    bool   // the job does not run until an operator settles it or more is known
	// DescriptionMissing is set for a held job that is known to be unfinished. It can run as soon
	// as its description is submitted again or imported.
	DescriptionMissing bool
}

// Final reports whether the decision is that the job has finished.
func (d Decision) Final() bool { return !d.Held && d.State != jobs.Queued }

// Decide returns the decision of the first rule that applies. Proof that a job has finished precedes
// all other rules. allResponded reports whether every controller that may know more has responded
// or is considered gone. Until then, a job that seems unfinished is held, because another
// controller may know that it has finished.
func Decide(known Knowledge, allResponded bool) Decision {
	switch {
	case known.Done && known.Cancelled:
		// Both states keep the job from running. An operator may choose the other one.
		return Decision{Outcome: Contradictory, Rule: RuleContradiction, State: jobs.Cancelled}
	case known.Done && known.TaskCount() > 0:
		return Decision{Outcome: Recovered, Rule: RuleDone, State: jobs.Done}
	case known.Cancelled:
		return Decision{Outcome: Recovered, Rule: RuleCancelled, State: jobs.Cancelled}
	case known.allTasksDone():
		return Decision{Outcome: Recovered, Rule: RuleAllTasksDone, State: jobs.Done}
	case known.Unfinished && !allResponded:
		return Decision{Outcome: Uncertain, Rule: RuleResponseMissing, State: jobs.Queued, Held: true}
	case known.Unfinished && known.Spec != nil:
		return Decision{Outcome: Recovered, Rule: RuleUnfinished, State: jobs.Queued}
	case known.Unfinished:
		return Decision{Outcome: PartiallyRecovered, Rule: RuleNoDescription, State: jobs.Queued, Held: true, DescriptionMissing: true}
	case len(known.RunningTasks)+len(known.CompletedTasks) > 0:
		return Decision{Outcome: Uncertain, Rule: RuleTasksOnWorkers, State: jobs.Queued, Held: true}
	}
	return Decision{Outcome: Uncertain, Rule: RuleOldSource, State: jobs.Queued, Held: true}
}

// TaskCount returns the number of tasks of the job, or a lower bound if the number is not known.
// It returns 0 if neither is known.
func (k Knowledge) TaskCount() int { return max(k.Tasks, k.MinTasks) }

// Record returns the record that implements the decision about the job. nowMs is the wall-clock
// time in milliseconds.
func (k Knowledge) Record(decision Decision, nowMs int64) jobs.Record {
	rec := jobs.Record{State: decision.State, Tasks: max(1, k.TaskCount())}
	switch {
	case decision.Held:
		rec.Held = &jobs.Held{Reason: string(decision.Rule), Spec: k.Spec, AcceptedAtMs: k.AcceptedAtMs, HeldSinceMs: nowMs, OnlySpecMissing: decision.DescriptionMissing}
	case decision.State == jobs.Queued:
		rec.Spec, rec.AcceptedAtMs, rec.Restored = k.Spec, k.AcceptedAtMs, true
	case decision.State == jobs.Cancelled:
		rec.Spec = k.Spec // its tasks use resources until they are gone
	}
	if decision.Outcome == Contradictory {
		rec.Held = &jobs.Held{Reason: string(decision.Rule), HeldSinceMs: nowMs, Contradicts: true}
	}
	return rec
}
