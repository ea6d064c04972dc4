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
	return &jobs.Record{State: jobs.Queued, Tasks: 1, Held: &jobs.Held{Reason: string(recovery.RuleTasksOnWorkers), Spec: spec, HeldSinceMs: at.UnixMilli()}}
}

func batchSpec(id string) *jobs.Spec {
	return &jobs.Spec{ID: id, Team: "red", Shape: jobs.Batch, Tasks: 1, CPUs: 2}
}

// An older record of a held job must be ignored. A newer one must not discard what workers have
// proven.
func TestHoldJob(t *testing.T) {
	s := newScenario(t)
	s.HoldJob("j-000001", heldRecord(nil, s.now), 7)
	task := runningTask("j-000001", 0, 3)
	if machine := s.addMachine("m-1"); !s.MustKeepOrphan(machine, &task) {
		t.Fatal("a held job's task may be stopped")
	}
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 6)
	if known := s.held.byID["j-000001"].known; known.Spec != nil {
		t.Error("an older record was applied")
	}
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 8)
	if known := s.held.byID["j-000001"].known; known.Spec == nil || len(known.RunningTasks) != 1 {
		t.Errorf("after a newer record, known: %+v", known)
	}
	if s.ReleaseJob("j-000001"); s.held.contains("j-000001") {
		t.Error("the job is still held after its release")
	}
}

// The record of a held job must be written, once, when workers have proven that all its tasks are
// done.
func TestHeldJobWithAllTasksDoneIsWritten(t *testing.T) {
	s := newScenario(t)
	s.HoldJob("j-000001", heldRecord(batchSpec("j-000001"), s.now), 7)
	machine := s.addMachine("m-1")
	task := runningTask("j-000001", 0, 3)
	if s.MustKeepOrphan(machine, &task); len(s.writeBack.queue) != 0 {
		t.Error("a running task decided the outcome of its job")
	}
	task.State, task.Cause = workers.StateEnded, workers.CauseDone
	for range 2 {
		if !s.MustKeepOrphan(machine, &task) {
			t.Error("the task may be cleared before its job's record is written")
		}
	}
	if len(s.writeBack.queue) != 1 {
		t.Errorf("write-back queue %v, want the job once", s.writeBack.queue)
	}
}

// A held job with a description must run after the time set by the operator, and not earlier.
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
		{"after the set time", 60, batchSpec("j-000001"), 60, true},
		{"without a description", 60, nil, 60, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScenario(t)
			s.cfg.Settings.Operator.RunHeldJobsAfterS = test.afterS
			s.HoldJob("j-000001", heldRecord(test.spec, s.now), 7)
			s.RunUncertainJobs(s.now.Add(time.Duration(test.heldS) * time.Second))
			if runs := len(s.writeBack.queue) == 1; runs != test.runs {
				t.Errorf("job released to run: %v", runs)
			}
		})
	}
}

// Settling must fail for a job that is not held, and for one that lacks its description.
func TestSettleRefused(t *testing.T) {
	s := newScenario(t)
	settle := func(id string, as recovery.Settlement) (outcome error) {
		s.Settle(t.Context(), id, as, s.now, func(err error) { outcome = err })
		return outcome
	}
	if err := settle("j-000001", recovery.SettleRun); !errors.Is(err, ErrNotHeld) {
		t.Errorf("settling a job that is not held: %v", err)
	}
	s.HoldJob("j-000001", heldRecord(nil, s.now), 7)
	if err := settle("j-000001", recovery.SettleRun); !errors.Is(err, recovery.ErrRefused) {
		t.Errorf("settling a job without a description: %v", err)
	}
}
