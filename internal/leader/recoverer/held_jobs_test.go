package recoverer

import (
	"errors"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/workers"
)

func heldRecord(spec *jobs.Spec, at time.Time) *jobs.Record {
	return &jobs.Record{State: jobs.Queued, Tasks: 1, Held: &jobs.Held{Reason: string(recovery.RuleOnWorker), Spec: spec, HeldSinceMs: at.UnixMilli()}}
}

func batchSpec(id string) *jobs.Spec {
	return &jobs.Spec{ID: id, Team: "red", Shape: jobs.Batch, Tasks: 1, CPUs: 2}
}

// An older record of a held job says nothing. A newer one keeps what workers have proven.
func TestHoldJob(t *testing.T) {
	s := newScenario(t)
	s.HoldJob("j-000001", heldRecord(nil, s.now), 7)
	task := running("j-000001", 0, 3)
	if machine := s.addMachine("m-1"); !s.LeaveAlone(machine, &task) {
		t.Fatal("a held job's task would be stopped")
	}
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 6)
	if known := s.held.byID["j-000001"].known; known.Spec != nil {
		t.Error("an older record was taken in")
	}
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 8)
	if known := s.held.byID["j-000001"].known; known.Spec == nil || len(known.RunningTasks) != 1 {
		t.Errorf("known: %+v", known)
	}
	if s.ReleaseJob("j-000001"); s.held.contains("j-000001") {
		t.Error("still held")
	}
}

// When workers have proven that all tasks of a held job are done, its record is written.
func TestHeldJobProvenDone(t *testing.T) {
	s := newScenario(t)
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 7)
	machine := s.addMachine("m-1")
	task := running("j-000001", 0, 3)
	if s.LeaveAlone(machine, &task); len(s.writeBack.queue) != 0 {
		t.Error("a task that runs decides nothing")
	}
	task.State, task.Cause = workers.StateEnded, workers.CauseDone
	for range 2 {
		if !s.LeaveAlone(machine, &task) {
			t.Error("the task would be cleared before the record is written")
		}
	}
	if len(s.writeBack.queue) != 1 {
		t.Errorf("%v to be written, want the job once", s.writeBack.queue)
	}
}

// Held jobs run after the time that operators allow, if there is a description, and no earlier.
func TestRunUncertainJobs(t *testing.T) {
	tests := []struct {
		name   string
		afterS float64
		spec   *jobs.Spec
		heldS  int
		runs   bool
	}{
		{"never, by default", 0, batchSpec("j-000001"), 1000, false},
		{"too early", 60, batchSpec("j-000001"), 59, false},
		{"in time", 60, batchSpec("j-000001"), 60, true},
		{"without a description", 60, nil, 60, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScenario(t)
			s.cfg.Settings.Operator.RunUncertainAfterS = test.afterS
			s.HoldJob("j-000001", heldRecord(test.spec, s.now), 7)
			s.RunUncertainJobs(s.now.Add(time.Duration(test.heldS) * time.Second))
			if runs := len(s.writeBack.queue) == 1; runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}

// A job that is not held is not settled, and one that is not against what is proven.
func TestSettleRefused(t *testing.T) {
	s := newScenario(t)
	settle := func(id string, as recovery.Settlement) (outcome error) {
		s.Settle(t.Context(), id, as, s.now, func(err error) { outcome = err })
		return outcome
	}
	if err := settle("j-000001", recovery.SettleRun); !errors.Is(err, ErrNotHeld) {
		t.Errorf("not held: %v", err)
	}
	s.HoldJob("j-000001", heldRecord(nil, s.now), 7)
	if err := settle("j-000001", recovery.SettleRun); !errors.Is(err, recovery.ErrRefused) {
		t.Errorf("without a description: %v", err)
	}
}
