package runtimes

import (
	"math"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
)

// Whatever owners estimate, the expected run time of a task is positive and finite, and the estimates of other jobs of the
// class are corrected by a limited factor only.
func TestSenselessEstimates(t *testing.T) {
	const actualS = 10
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sensible := &jobs.Spec{ID: "j-2", Class: "sums", Shape: jobs.Batch, Tasks: 1, EstimatedRuntimeS: actualS}
	unknown := &jobs.Spec{ID: "j-3", Class: "sums", Shape: jobs.Batch, Tasks: 1}
	for _, estimateS := range []float64{0, math.SmallestNonzeroFloat64, 1e-9, 1, 1e9, math.MaxFloat64} {
		estimator := NewEstimator()
		if got := estimator.RunTimeS(unknown); got != unknownRunTimeS {
			t.Errorf("no task of the class known: %v s", got)
		}
		spec := &jobs.Spec{ID: "j-1", Class: "sums", Shape: jobs.Batch, Tasks: 1000, EstimatedRuntimeS: estimateS}
		job, machine := cluster.NewJob("j-1", spec, 1, 0, now), cluster.NewMachine("m-1", now)
		for range spec.Tasks {
			estimator.TaskCompleted(&cluster.Assignment{
				Job: job, Index: job.TakePendingTask(), Machine: machine, RunningSince: now.Add(-actualS * time.Second), RunStartKnown: true,
			}, now)
		}
		if got := estimator.RunTimeS(spec); !(got > 0) || math.IsInf(got, 0) {
			t.Errorf("estimate of %v: %v s", estimateS, got)
		}
		if got := estimator.RunTimeS(sensible); got < actualS/maxEstimateError || got > actualS*maxEstimateError {
			t.Errorf("after estimates of %v, a task of %v s is expected to run for %v s", estimateS, actualS, got)
		}
		if got := estimator.RunTimeS(unknown); math.Abs(got-actualS) > 1e-6 {
			t.Errorf("without an estimate: %v s, want %v s", got, actualS)
		}
	}
	if got := NewEstimator().RunTimeS(&jobs.Spec{Shape: jobs.Service, EstimatedRuntimeS: 7}); got != 0 {
		t.Errorf("a service is expected to run for %v s", got)
	}
}
