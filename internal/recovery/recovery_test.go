package recovery

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ospreyslip/internal/jobs"
)

// truth is what really became of a job, and a source's knowledge an earlier part of it.
type truth struct {
	tasks     int
	state     string
	tasksDone []int
	spec      *jobs.Spec
}

func drawTruth(t *rapid.T) truth {
	tr := truth{tasks: rapid.IntRange(1, 6).Draw(t, "tasks")}
	tr.spec = &jobs.Spec{ID: "j-1", Tasks: tr.tasks, Shape: jobs.Batch, CPUs: 1}
	tr.state = rapid.SampledFrom([]string{jobs.Queued, jobs.Done, jobs.Cancelled}).Draw(t, "state")
	for n := range tr.tasks {
		if tr.state == jobs.Done || rapid.Bool().Draw(t, "done") {
			tr.tasksDone = append(tr.tasksDone, n)
		}
	}
	if tr.state != jobs.Done && len(tr.tasksDone) == tr.tasks {
		tr.tasksDone = tr.tasksDone[1:] // else it would be done
	}
	return tr
}

// drawWord draws what an honest source may say of a job.
func (tr truth) drawWord(t *rapid.T) Knowledge {
	var k Knowledge
	from := rapid.SampledFrom([]Source{FromCache("perch-0"), FromCache("perch-1"), FromLeader, FromWorker("m-1"), FromSnapshot(7)}).Draw(t, "source")
	switch from {
	case FromWorker("m-1"):
		for n := range tr.tasks {
			switch done := slices.Contains(tr.tasksDone, n); {
			case done && rapid.Bool().Draw(t, "listed"):
				k.CompletedTasks = append(k.CompletedTasks, n)
			case !done && tr.state != jobs.Done && rapid.Bool().Draw(t, "runs"):
				k.RunningTasks = append(k.RunningTasks, n)
			}
		}
		k.MinTasks = 1
	default:
		k.Tasks = tr.tasks
		if rapid.Bool().Draw(t, "described") {
			k.Spec = tr.spec
		}
		switch known := rapid.SampledFrom([]string{jobs.Queued, tr.state}).Draw(t, "known"); known {
		case jobs.Done:
			k.Done = true
		case jobs.Cancelled:
			k.Cancelled = true
		default:
			k.Unfinished = from != FromSnapshot(7) && tr.state == jobs.Queued
		}
	}
	return Attribute(from, k)
}

// The order in which sources are heard, and how often, changes nothing.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, other := drawTruth(t), drawTruth(t)
		a, b, c := tr.drawWord(t), other.drawWord(t), tr.drawWord(t) // b may contradict
		same := func(what string, x, y Knowledge) {
			if d := cmp.Diff(x, y, cmp.AllowUnexported(jobs.Spec{})); d != "" {
				t.Fatalf("%s: %s", what, d)
			}
		}
		same("commutative", a.Join(b), b.Join(a))
		same("associative", a.Join(b).Join(c), a.Join(b.Join(c)))
		same("idempotent", a.Join(b).Join(b), a.Join(b))
		same("neutral", Knowledge{}.Join(a), a)
		// What was known is not forgotten: final knowledge stays.
		if j := a.Join(b); a.Done && !j.Done || a.Cancelled && !j.Cancelled || a.Accepted && !j.Accepted || len(j.CompletedTasks) < len(a.CompletedTasks) {
			t.Fatalf("forgotten: %+v of %+v", j, a)
		}
	})
}

// Whatever honest sources say, no job is given an end that it has not had, none that is
// over runs again, and none is run of which that is not certain.
func TestNoWrongEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := drawTruth(t)
		var k Knowledge
		for range rapid.IntRange(1, 5).Draw(t, "words") {
			k = k.Join(tr.drawWord(t))
		}
		heard := rapid.Bool().Draw(t, "heard")
		d := Decide(k, heard)
		switch {
		case d.Outcome == Contradictory:
			t.Fatalf("honest sources contradict each other: %s", k.Provenance())
		case d.Final() && d.State != tr.state:
			t.Fatalf("%s is taken for %s by %q: %s", tr.state, d.State, d.Rule, k.Provenance())
		case !d.Held && d.State == jobs.Queued && tr.state != jobs.Queued:
			t.Fatalf("%s would run again by %q: %s", tr.state, d.Rule, k.Provenance())
		case !d.Held && d.State == jobs.Queued && (k.Spec == nil || !heard):
			t.Fatalf("run without a description, or before all were heard: %s", k.Provenance())
		}
		rec := k.Record(d, 1)
		if rec.Tasks < 1 || d.Held && rec.Held == nil || d.Held && rec.Spec != nil {
			t.Fatalf("record %+v for %+v", rec, d)
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
	for _, c := range cases {
		v := KnowledgeByJob{}
		for _, w := range c.words {
			v.Merge("j-1", w)
		}
		if d := Decide(v["j-1"], true); d.Rule != c.want || d.State != c.state || d.Held != c.held {
			t.Errorf("%s: %+v, want %q", c.name, d, c.want)
		}
	}
}

// An operator may decide what is open, and nothing against proof.
func TestSettle(t *testing.T) {
	spec := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Batch}
	uncertain := Attribute(FromSnapshot(7), Knowledge{Spec: spec})
	running := uncertain.Join(Attribute(FromWorker("m-1"), Knowledge{RunningTasks: []int{0}}))
	both := Knowledge{Done: true, Cancelled: true, Spec: spec}
	cases := []struct {
		name string
		k    Knowledge
		as   Settlement
		ok   bool
	}{
		{"uncertain", uncertain, SettleDone, true},
		{"uncertain", uncertain, SettleCancelled, true},
		{"uncertain", uncertain, SettleRun, true},
		{"uncertain", uncertain, "lost", false},
		{"running", running, SettleDone, false},
		{"running", running, SettleCancelled, true},
		{"running", running, SettleRun, true},
		{"done and cancelled", both, SettleDone, true},
		{"done and cancelled", both, SettleCancelled, true},
		{"done and cancelled", both, SettleRun, false},
		{"no description", Attribute(FromWorker("m-1"), Knowledge{RunningTasks: []int{0}}), SettleRun, false},
		{"cancelled", Knowledge{Cancelled: true}, SettleDone, false},
		{"done", Knowledge{Done: true}, SettleCancelled, false},
	}
	for _, c := range cases {
		d, err := Settle(c.k, c.as)
		if (err == nil) != c.ok || err != nil && !errors.Is(err, ErrRefused) {
			t.Errorf("%s as %s: %+v, %v", c.name, c.as, d, err)
		}
	}
}
