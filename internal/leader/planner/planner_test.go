package planner

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/placement"
)

// noConstraints implements Constraints without restricting any job.
type noConstraints struct{}

func (noConstraints) MayPreempt(*cluster.Job, time.Time) bool          { return true }
func (noConstraints) MayHaveUnknownTasks(*cluster.Job, time.Time) bool { return false }
func (noConstraints) AddHeldUsage(map[string]placement.Resources)      {}

func TestQueueDropsFinishedJobs(t *testing.T) {
	p := New(Config{}, cluster.NewState(), runtimes.NewEstimator(), nil, noConstraints{})
	byName := map[string]*cluster.Job{}
	for _, name := range []string{"pending", "cancelled", "complete", "all placed"} {
		byName[name] = cluster.NewJob(name, &jobs.Spec{ID: name, Shape: jobs.Batch, Tasks: 1, CPUs: 1}, 1, 0, time.Time{})
		p.Enqueue(byName[name])
	}
	byName["cancelled"].End.Cancelled, byName["complete"].End.Complete = true, true
	byName["all placed"].TakePendingTask()
	if p.Plan(time.Time{}); len(p.queued) != 1 || !p.queued[byName["pending"]] {
		t.Errorf("%d jobs are queued, want only the pending one", len(p.queued))
	}
}
