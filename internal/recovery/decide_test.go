package recovery

import (
	"testing"

	"pgregory.net/rapid"

	"ospreyslip/internal/jobs"
)

// Whatever honest sources say, no job is given an end that it has not had, none that is
// over runs again, and none is run of which that is not certain.
func TestNoWrongEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := drawTruth(t)
		var known Knowledge
		for range rapid.IntRange(1, 5).Draw(t, "words") {
			known = known.Join(real.drawStatement(t))
		}
		heard := rapid.Bool().Draw(t, "heard")
		decision := Decide(known, heard)
		switch {
		case decision.Outcome == Contradictory:
			t.Fatalf("honest sources contradict each other: %s", known.Provenance())
		case decision.Final() && decision.State != real.state:
			t.Fatalf("%s is taken for %s by %q: %s", real.state, decision.State, decision.Rule, known.Provenance())
		case !decision.Held && decision.State == jobs.Queued && real.state != jobs.Queued:
			t.Fatalf("%s would run again by %q: %s", real.state, decision.Rule, known.Provenance())
		case !decision.Held && decision.State == jobs.Queued && (known.Spec == nil || !heard):
			t.Fatalf("run without a description, or before all were heard: %s", known.Provenance())
		}
		rec := known.Record(decision, 1)
		if rec.Tasks < 1 || decision.Held && rec.Held == nil || decision.Held && rec.Spec != nil {
			t.Fatalf("record %+v for %+v", rec, decision)
		}
	})
}

// The hard cases of a lost record, each with its rule.
func TestDecide(t *testing.T) {
	spec := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Batch}
	service := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Service}
	snapshot := func(k Knowledge) Knowledge { return Attribute(FromSnapshot(7), k) }
	cache := func(k Knowledge) Knowledge { return Attribute(FromCache("perch-1"), k) }
	worker := func(k Knowledge) Knowledge { return Attribute(FromWorker("m-1"), k) }
	cases := []struct {
		name  string
		words []Knowledge
		want  Rule
		state string
		held  bool
	}{
		{"a snapshot older than the job's completion", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Done: true, Tasks: 2})}, RuleDone, jobs.Done, false},
		{"a snapshot older than a cancellation", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Cancelled: true, Tasks: 2})}, RuleCancelled, jobs.Cancelled, false},
		{"a snapshot alone, unfinished in it", []Knowledge{snapshot(Knowledge{Spec: spec})}, RuleOldSource, jobs.Queued, true},
		{"a snapshot alone, done in it", []Knowledge{snapshot(Knowledge{Done: true, Tasks: 2})}, RuleDone, jobs.Done, false},
		{"a worker with a job that nobody knows", []Knowledge{worker(Knowledge{RunningTasks: []int{3}, MinTasks: 4})}, RuleOnWorker, jobs.Queued, true},
		{"a worker with all that a snapshot knows of", []Knowledge{snapshot(Knowledge{Spec: spec}), worker(Knowledge{CompletedTasks: []int{0, 1}})}, RuleAllTasksDone, jobs.Done, false},
		{"a worker with one of two", []Knowledge{snapshot(Knowledge{Spec: spec}), worker(Knowledge{CompletedTasks: []int{1}})}, RuleOnWorker, jobs.Queued, true},
		{"tasks of a service never make it done", []Knowledge{snapshot(Knowledge{Spec: service}), worker(Knowledge{CompletedTasks: []int{0, 1}})}, RuleOnWorker, jobs.Queued, true},
		{"unfinished by a cache, described by a snapshot", []Knowledge{snapshot(Knowledge{Spec: spec}), cache(Knowledge{Unfinished: true, Tasks: 2})}, RuleUnfinished, jobs.Queued, false},
		{"unfinished by a cache alone", []Knowledge{cache(Knowledge{Unfinished: true, Tasks: 2})}, RuleNoDescription, jobs.Queued, true},
		{"done and cancelled", []Knowledge{cache(Knowledge{Cancelled: true, Tasks: 2}), Attribute(FromLeader, Knowledge{Done: true, Tasks: 2})}, RuleContradiction, jobs.Cancelled, false},
		{"cancelled on one node, unfinished on another", []Knowledge{cache(Knowledge{Cancelled: true, Tasks: 2}), Attribute(FromLeader, Knowledge{Unfinished: true, Spec: spec})}, RuleCancelled, jobs.Cancelled, false},
	}
	for _, tc := range cases {
		known := KnowledgeByJob{}
		for _, statement := range tc.words {
			known.Merge("j-1", statement)
		}
		if decision := Decide(known["j-1"], true); decision.Rule != tc.want || decision.State != tc.state || decision.Held != tc.held {
			t.Errorf("%s: %+v, want %q", tc.name, decision, tc.want)
		}
	}
}
