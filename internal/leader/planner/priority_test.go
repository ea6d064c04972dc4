package planner

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/workers"
)

// A job whose tasks are stopped soon after they start has not been served. If each such start reset
// its waiting time, the job would starve indefinitely.
func TestShortRunsDoNotEndStarvation(t *testing.T) {
	accepted := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	config := Config{StarvationLimit: time.Minute, CountedRunTime: 10 * time.Second}
	p := New(config, cluster.NewState(), runtimes.NewEstimator(), nil, nil)
	spec := &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 2, CPUs: 1}
	job := cluster.NewJob("j-1", spec, 1, 0, accepted)
	starvedAt := accepted.Add(config.StarvationLimit)
	a := &cluster.Assignment{Job: job, Index: job.TakePendingTask(), ObservedState: workers.StateRunning, RunningSince: starvedAt}
	job.Assignments[a.Index] = a
	if n := p.StarvedTasks(job, starvedAt.Add(time.Second)); n != 1 {
		t.Errorf("with a task that has just started: %d starved tasks, want 1", n)
	}
	a.Starved = true
	if n := p.StarvedTasks(job, starvedAt.Add(time.Second)); n != 0 {
		t.Errorf("with a task already placed first: %d starved tasks, want 0", n)
	}
	a.Stop.Requested = true
	if n := p.StarvedTasks(job, starvedAt.Add(time.Second)); n != 1 {
		t.Errorf("when that task has to stop: %d starved tasks, want 1", n)
	}
	a.Stop.Requested = false
	if n := p.StarvedTasks(job, starvedAt.Add(config.CountedRunTime+time.Second)); n != 0 {
		t.Errorf("with a task that has run long enough: %d starved tasks, want 0", n)
	}
}
