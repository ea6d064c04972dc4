package recovery

import (
	"testing"

	"pgregory.net/rapid"

	"ospreyslip/internal/jobs"
)

// Checks decisions on what honest sources say of a job: the job is given no final state that it
// does not have, does not run again once it has finished, and runs only if it certainly should.
func TestDecisionsMatchTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actual := drawTruth(t)
		var known Knowledge
		for range rapid.IntRange(1, 5).Draw(t, "statements") {
			known = known.Join(actual.drawStatement(t))
		}
		allResponded := rapid.Bool().Draw(t, "all responded")
		decision := Decide(known, allResponded)
		switch {
		case decision.Outcome == Contradictory:
			t.Fatalf("honest sources seem to contradict each other: %s", known.Provenance())
		case decision.Final() && decision.State != actual.state:
			t.Fatalf("a job in state %q is decided to be %q by rule %q: %s", actual.state, decision.State, decision.Rule, known.Provenance())
		case !decision.Held && decision.State == jobs.Queued && actual.state != jobs.Queued:
			t.Fatalf("a job in state %q would run again by rule %q: %s", actual.state, decision.Rule, known.Provenance())
		case !decision.Held && decision.State == jobs.Queued && (known.Spec == nil || !allResponded):
			t.Fatalf("a job runs without a description, or before all controllers have responded: %s", known.Provenance())
		}
		rec := known.Record(decision, 1)
		if rec.Tasks < 1 || decision.Held && rec.Held == nil || decision.Held && rec.Spec != nil {
			t.Fatalf("record %+v does not match decision %+v", rec, decision)
		}
	})
}

// Checks the rule, the state and the hold that are decided for each kind of lost record.
func TestDecide(t *testing.T) {
	spec := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Batch}
	service := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Service}
	snapshot := func(k Knowledge) Knowledge { return Attribute(FromSnapshot(7), k) }
	cache := func(k Knowledge) Knowledge { return Attribute(FromCache("perch-1"), k) }
	worker := func(k Knowledge) Knowledge { return Attribute(FromWorker("m-1"), k) }
	cases := []struct {
		name       string
		statements []Knowledge
		want       Rule
		state      string
		held       bool
	}{
		{"a snapshot older than the job's completion", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Done: true, Tasks: 2})}, RuleDone, jobs.Done, false},
		{"a snapshot older than a cancellation", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Cancelled: true, Tasks: 2})}, RuleCancelled, jobs.Cancelled, false},
		{"a snapshot alone, unfinished in it", []Knowledge{snapshot(Knowledge{Spec: spec})}, RuleOldSource, jobs.Queued, true},
		{"a snapshot alone, done in it", []Knowledge{snapshot(Knowledge{Done: true, Tasks: 2})}, RuleDone, jobs.Done, false},
		{"a worker with a job that no other source knows", []Knowledge{worker(Knowledge{RunningTasks: []int{3}, MinTasks: 4})}, RuleTasksOnWorkers, jobs.Queued, true},
		{"a worker with all completed tasks of a job in a snapshot", []Knowledge{snapshot(Knowledge{Spec: spec}), worker(Knowledge{CompletedTasks: []int{0, 1}})}, RuleAllTasksDone, jobs.Done, false},
		{"a worker with one of two completed tasks", []Knowledge{snapshot(Knowledge{Spec: spec}), worker(Knowledge{CompletedTasks: []int{1}})}, RuleTasksOnWorkers, jobs.Queued, true},
		{"a service is not done when its tasks are", []Knowledge{snapshot(Knowledge{Spec: service}), worker(Knowledge{CompletedTasks: []int{0, 1}})}, RuleTasksOnWorkers, jobs.Queued, true},
		{"unfinished by a cache, described by a snapshot", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Unfinished: true, Tasks: 2})}, RuleUnfinished, jobs.Queued, false},
		{"unfinished by a cache alone", []Knowledge{cache(Knowledge{Unfinished: true, Tasks: 2})}, RuleNoDescription, jobs.Queued, true},
		{"done and cancelled", []Knowledge{cache(Knowledge{Cancelled: true, Tasks: 2}), Attribute(FromLeader, Knowledge{Done: true, Tasks: 2})}, RuleContradiction, jobs.Cancelled, false},
		{"cancelled by one controller, unfinished by another", []Knowledge{cache(Knowledge{Cancelled: true, Tasks: 2}), Attribute(FromLeader, Knowledge{Unfinished: true, Spec: spec})}, RuleCancelled, jobs.Cancelled, false},
	}
	for _, tc := range cases {
		known := KnowledgeByJob{}
		for _, statement := range tc.statements {
			known.Merge("j-1", statement)
		}
		if decision := Decide(known["j-1"], true); decision.Rule != tc.want || decision.State != tc.state || decision.Held != tc.held {
			t.Errorf("%s: %+v, want %q", tc.name, decision, tc.want)
		}
	}
}
