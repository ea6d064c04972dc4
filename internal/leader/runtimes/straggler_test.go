package runtimes

import (
	"math"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// Run times of one class vary, so one long-running task is weak evidence of a slow machine. Several
// tasks on one machine are strong evidence, and so are completed tasks.
func TestIsStraggler(t *testing.T) {
	for _, tc := range []struct {
		name    string
		before  []float64 // completed tasks: multiples of their usual run time
		running []float64 // running tasks: multiples of their usual run time
		slow    bool
	}{
		{"one long task", nil, []float64{2.5, 0.5, 0.5, 0.1}, false},
		{"one long task after fast ones", []float64{0.8, 1.2, 1}, []float64{4}, false},
		{"all tasks long", nil, []float64{2.5, 2.5, 2.5, 2.5}, true},
		{"completed tasks, each late", []float64{3, 3.5, 4, 4}, []float64{1}, true},
		{"slightly late", []float64{1.4, 1.5, 1.3}, []float64{1.2, 1.2}, false},
		{"a task that never ends", nil, []float64{30}, true},
		{"no completed task of the job elsewhere", nil, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			estimator, machine := NewEstimator(), cluster.NewMachine("m-1", now)
			machine.Worker.ObservedAt = now
			*estimator.ForClass("sums") = Distribution{Variance: 0.25, Tasks: 100, Jobs: 100}
			spec := &jobs.Spec{ID: "j-2", Class: "sums", Shape: jobs.Batch, Tasks: 50, CPUs: 1, EstimatedRuntimeS: 10}
			job := cluster.NewJob("j-2", spec, 1, 0, now)
			for range 25 {
				job.RecordRunTime(math.Log(10))
			}
			attempt := uint64(0)
			start := func(ran float64) *cluster.Assignment {
				attempt++
				a := &cluster.Assignment{
					Job: job, Index: job.TakePendingTask(), Attempt: attempt, Machine: machine, CreatedAt: now,
					ObservedState: workers.StateRunning, RunningSince: now.Add(-time.Duration(ran * 10 * float64(time.Second))), RunStartKnown: true,
				}
				job.Assignments[a.Index], machine.Assignments[attempt] = a, a
				return a
			}
			start(0).ObservedState = "" // one more task that has not started and is no evidence
			for _, ran := range tc.before {
				estimator.TaskCompleted(start(ran), now)
			}
			clear(machine.Assignments)
			for _, ran := range tc.running {
				start(ran)
			}
			if tc.running == nil {
				job.RunTimeLogs = nil // the fast ones would be completed first
				start(9)
				start(9)
			}
			if slow, _ := estimator.IsStraggler(machine); slow != tc.slow {
				t.Errorf("slow: %v, log odds %.1f", slow, estimator.StragglerLogOdds(machine))
			}
		})
	}
}
