package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/fleet"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/term"
	"ospreyslip/internal/workers"
)

// bench is a leader with one machine and one job of two tasks, and no duties.
func bench() (*Leader, *machine, *job, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{ReportS: 2, LeaseS: 20, CancelS: 40},
		State:   settings.State{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.Limits{MemoryMB: 100, MaxSockets: 100},
	}}
	l := &Leader{
		Deps: Deps{
			Settings: set, Derived: set.Derive(), Counts: NewCounts(), Valid: func() bool { return true },
			Proven: func() time.Time { return time.Time{} }, Catalog: func() []jobs.MachineType { return nil },
		},
		term: term.Term{Token: 5}, token: 5, attempts: 100, fresh: now,
		jobs: map[string]*job{}, machines: map[string]*machine{}, used: map[string]placement.Amount{},
		queued: map[*job]bool{}, bias: map[string]float64{}, gone: map[string]time.Time{}, refused: map[fleet.Kind]refusal{},
		watch: liveness.New(liveness.Config{SilentFor: time.Second, LeaseOver: time.Second, HoldGrace: time.Second, Gap: time.Second}),
	}
	j := newJob("j-1", &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 2, CPUs: 1}, 1, 0, now)
	l.jobs["j-1"] = j
	l.report(report(1, 1), now)
	m := l.machines["m-1"]
	l.assign(j, j.take(), m, now)
	for _, a := range m.assigned {
		a.durable = true
	}
	return l, m, j, now
}

func report(session, seq uint64, tasks ...workers.Task) *workers.Report {
	return &workers.Report{Machine: "m-1", Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", Session: session, Seq: seq, Token: 5, Tasks: tasks}
}

func ops(calls []workers.Call) (out []string) {
	for _, c := range calls {
		out = append(out, c.Op+" "+c.Task)
	}
	return out
}

// A report that was held up on the way must not turn the picture back: here the
// task is being stopped, and an old report that does not show it yet would have
// it placed elsewhere while it is still saving.
func TestOldReportsChangeNothing(t *testing.T) {
	l, m, j, now := bench()
	if d := cmp.Diff([]string{"run j-1/0"}, ops(l.report(report(1, 2), now).Calls)); d != "" {
		t.Fatal(d)
	}
	l.report(report(1, 4, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	l.stop(j.tasks[0], 5)
	l.report(report(1, 5, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Saving}), now)
	l.report(report(1, 3), now)
	if a := j.tasks[0]; a == nil || a.outcome != open {
		t.Error("an old report ended a task that is still saving")
	}
	if m.seq != 5 || m.room.CPUs != 1 {
		t.Errorf("picture at %d, %v CPUs taken", m.seq, m.room.CPUs)
	}
	// A report of an earlier session says nothing at all.
	l.report(report(2, 1), now)
	if l.report(report(1, 9), now) != nil {
		t.Error("answered a session that is over")
	}
}

// A task's end is cleared once its completion is durable, and in answers only:
// a run in an answer that is still on its way could follow a clear sent by order.
func TestClearFollowsTheRecord(t *testing.T) {
	l, m, _, now := bench()
	l.report(report(1, 2), now)
	done := workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Ended, Cause: workers.CauseDone}
	if calls := l.report(report(1, 3, done), now).Calls; len(calls) > 0 {
		t.Errorf("before the completion is durable: %v", ops(calls))
	}
	for _, a := range m.assigned {
		l.forget(a) // as after the write
	}
	if calls := l.calls(m, false); len(calls) > 0 {
		t.Errorf("by order: %v", ops(calls))
	}
	if d := cmp.Diff([]string{"clear j-1/0"}, ops(l.report(report(1, 4, done), now).Calls)); d != "" {
		t.Error(d)
	}
}

// What nobody has assigned is stopped, wherever it comes from.
func TestUnknownTasksAreStopped(t *testing.T) {
	l, _, _, now := bench()
	l.report(report(1, 2), now)
	stray := workers.Task{Task: "j-9/3", Attempt: 7, State: workers.Running}
	seen := workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}
	if d := cmp.Diff([]string{"stop j-9/3"}, ops(l.report(report(1, 3, seen, stray), now).Calls)); d != "" {
		t.Error(d)
	}
}

// Who does not hold the term, has an old picture of users' wishes, or meets a
// worker that has seen a higher token, has no right to answer.
func TestNoRightToAnswer(t *testing.T) {
	l, _, _, now := bench()
	higher := report(1, 2)
	higher.Token = 6
	if l.report(higher, now) != nil {
		t.Error("answered under a lower token than the worker has seen")
	}
	if l.report(report(1, 3), now.Add(l.Derived.WatchStale+time.Second)) != nil {
		t.Error("answered with a picture in which cancellations may be missing")
	}
	l.Valid = func() bool { return false }
	if l.report(report(1, 4), now) != nil {
		t.Error("answered without the term")
	}
}
