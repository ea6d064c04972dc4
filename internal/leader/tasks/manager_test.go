package tasks

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// fakeHost counts the notifications of each machine.
type fakeHost struct {
	Host     // nil: the tests do not call the other methods
	notified map[string]int
}

func (h *fakeHost) Notify(m *cluster.Machine) { h.notified[m.ID]++ }
func (*fakeHost) CountsChanged(*cluster.Job)  {}

// assignAll returns a manager that has assigned each task of a job to a machine of its own.
func assignAll(t *testing.T, shape string, tasks int) (*Manager, *fakeHost, *cluster.Job) {
	t.Helper()
	host, noTypes := &fakeHost{notified: map[string]int{}}, func(string) *jobs.MachineType { return nil }
	runTimes := runtimes.NewEstimator()
	m := NewManager(Deps{
		Derived: settings.Derived{Workers: settings.WorkerTiming{HeartbeatInterval: time.Second, CancelDeadline: 5 * time.Second}},
		Fencing: fencing.New(5, 1), Log: assignmentlog.New(assignmentlog.Config{}), RunTimes: runTimes, Host: host,
		Planner: planner.New(planner.Config{}, cluster.NewState(), runTimes, noTypes, nil),
	}, 100)
	job := cluster.NewJob("j-1", &jobs.Spec{ID: "j-1", Shape: shape, Tasks: tasks, CPUs: 1}, 1, 0, time.Time{})
	for n := range tasks {
		m.Assign(job, job.TakePendingTask(), cluster.NewMachine(string(rune('a'+n)), time.Time{}), time.Time{})
	}
	return m, host, job
}

func TestStopEndsOnlyUnsentAssignments(t *testing.T) {
	for name, tc := range map[string]struct {
		setup func(a *cluster.Assignment)
		ends  bool
	}{
		"never sent":       {func(*cluster.Assignment) {}, true},
		"sent":             {func(a *cluster.Assignment) { a.Start.Sent = true }, false},
		"start in doubt":   {func(a *cluster.Assignment) { a.Start.InDoubtToken = 5 }, false},
		"seen on a worker": {func(a *cluster.Assignment) { a.ObservedState = workers.StateFetching }, false},
	} {
		t.Run(name, func(t *testing.T) {
			m, host, job := assignAll(t, jobs.Batch, 1)
			a := job.Assignments[0]
			tc.setup(a)
			m.Stop(a, 3)
			if ended := a.Outcome == cluster.Retry; ended != tc.ends || a.Log.EndQueued != tc.ends || (host.notified["a"] == 0) != tc.ends {
				t.Errorf("assignment ended: %v, notifications: %v", ended, host.notified)
			}
		})
	}
}

func TestGangStopsTogether(t *testing.T) {
	m, host, job := assignAll(t, jobs.Gang, 3)
	job.Assignments[0].Start.Sent, job.Assignments[1].Start.Sent = true, true
	m.Stop(job.Assignments[1], 3)
	for n, a := range job.Assignments {
		unsent := n == 2
		if !a.Stop.Requested || a.Stop.GraceS != 3 || (a.Outcome == cluster.Retry) != unsent || (host.notified[a.Machine.ID] == 0) != unsent {
			t.Errorf("task %d: stop request %+v, outcome %v, notifications: %v", n, a.Stop, a.Outcome, host.notified)
		}
	}
}

func TestBackoffGrowsWithConsecutiveFailures(t *testing.T) {
	m, _, job := assignAll(t, jobs.Batch, 1)
	for i, want := range []time.Duration{0, 0, 2, 4, 5, 5} { // seconds; at most the cancel deadline
		now := time.Unix(int64(100*i), 0)
		m.recordFailure(job.Assignments[0], &workers.TaskStatus{Cause: workers.CauseError}, now)
		if got := max(0, job.Scheduling.BackoffUntil.Sub(now)); got != want*time.Second {
			t.Errorf("backoff after %d failures: %v, want %d s", i+1, got, want)
		}
	}
}

// A straggler is excluded for a period that doubles once, and then judged again, unless it is drained.
func TestStragglerPeriods(t *testing.T) {
	m, _, job := assignAll(t, jobs.Batch, 1)
	m.Derived.Leader.StarvationLimit = 2 * time.Minute
	machine, now := job.Assignments[0].Machine, time.Unix(1000, 0)
	for _, period := range []time.Duration{30 * time.Second, time.Minute, time.Minute} {
		m.markStraggler(machine, now)
		if last := now.Add(period - time.Second); !m.endStragglerPeriod(machine, last) {
			t.Errorf("not excluded until the end of a period of %s", period)
		}
		now = now.Add(period)
		if m.endStragglerPeriod(machine, now) {
			t.Errorf("excluded for longer than %s", period)
		}
	}
	m.markStraggler(machine, now)
	machine.Health.Draining = true
	if !m.endStragglerPeriod(machine, now.Add(time.Hour)) {
		t.Error("a drained machine gets work again")
	}
}
