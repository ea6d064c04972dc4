// Package runtimes estimates how long tasks run, from the estimates of their owners and from
// observed run times. It also detects machines on which tasks run much longer than elsewhere.
//
// Run times are kept as logarithms because they vary by factors within a class. Nothing here is
// safe for concurrent use: it must be used only on the leader's event loop.
package runtimes

import (
	"math"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
)

const (
	minTaskWeight      = 0.05 // minimum weight of one completed task in the correction of estimates
	minJobWeight       = 0.2  // minimum weight of one completed job in the variance
	priorDeviation     = 0.7  // initial standard deviation of log run times: a factor of two
	minDeviation       = priorDeviation / 4
	minTailProbability = 1e-300 // keeps its logarithm finite
	minRunTimeS        = 1e-3
)

// Bounds of what owners' estimates can do. Any number is accepted as an estimate.
const (
	minEstimateS    = 0.1
	maxEstimateS    = 30 * 24 * 3600.0
	unknownRunTimeS = 60.0 // of a task without an estimate, until a task of its class has completed
	// maxEstimateError is the factor by which one task may show the estimates of its class to be wrong. Without a
	// limit, a few senseless estimates would spoil those of all other jobs of the class.
	maxEstimateError = 8.0
)

// Estimator holds the run time distributions of all classes of jobs.
type Estimator struct {
	byClass map[string]*Distribution
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator { return &Estimator{byClass: map[string]*Distribution{}} }

// Distribution describes the observed run times of a class.
type Distribution struct {
	Correction float64 // moving average of log(run time / owner's estimate)
	Mean       float64 // moving average of log run times
	Variance   float64 // of log run times within a job
	Tasks      float64 // number observed for the correction
	RunTimes   float64 // number observed for the mean
	Jobs       float64 // number observed for the variance
}

// ForClass returns the distribution of a class, which the caller may modify.
func (e *Estimator) ForClass(class string) *Distribution {
	distribution := e.byClass[class]
	if distribution == nil {
		distribution = &Distribution{Variance: priorDeviation * priorDeviation}
		e.byClass[class] = distribution
	}
	return distribution
}

// RunTimeS returns the expected run time of a task in seconds: its owner's estimate, corrected by
// the recent error of the estimates of its class, or without an estimate that of the tasks of its
// class. It is 0 for services, and positive for all other jobs.
func (e *Estimator) RunTimeS(spec *jobs.Spec) float64 {
	distribution := e.byClass[spec.Class]
	switch {
	case !spec.RunsToCompletion():
		return 0
	case hasEstimate(spec) && distribution != nil:
		return estimateS(spec) * math.Exp(distribution.Correction)
	case hasEstimate(spec):
		return estimateS(spec)
	case distribution != nil && distribution.RunTimes > 0:
		return math.Exp(distribution.Mean)
	}
	return unknownRunTimeS
}

// hasEstimate reports whether the owner of a job has said how long its tasks run.
func hasEstimate(spec *jobs.Spec) bool { return spec.EstimatedRuntimeS > 0 }

// estimateS returns the owner's estimate of a task's run time in seconds, within sensible bounds.
func estimateS(spec *jobs.Spec) float64 {
	return min(max(spec.EstimatedRuntimeS, minEstimateS), maxEstimateS)
}

// JobRunTimeS returns the expected run time of a task of a job in seconds. It prefers the median of
// the job's own run times, if enough were observed, to RunTimeS.
func (e *Estimator) JobRunTimeS(job *cluster.Job) float64 {
	if median, known := job.MedianRunTime(); known {
		return math.Exp(median)
	}
	return e.RunTimeS(job.Spec)
}

// TaskCompleted records a completed task. A task whose start was not observed is ignored. A task that has been
// stopped for being slow says nothing about its machine: it takes long by itself.
func (e *Estimator) TaskCompleted(assignment *cluster.Assignment, now time.Time) {
	job, seconds := assignment.Job, now.Sub(assignment.RunningSince).Seconds()
	startUnobserved := !assignment.RunStartKnown || assignment.Restored && job.IsGang()
	if startUnobserved || seconds <= 0 {
		return
	}
	distribution, logSeconds := e.ForClass(job.Spec.Class), math.Log(seconds)
	// The run time of a gang is that of its slowest task and says little about one machine.
	if median, known := job.MedianRunTime(); known && !job.IsGang() && job.MayStopAsSlow(assignment.Index) {
		health := &assignment.Machine.Health
		logOdds := health.SlowLogOdds + distribution.completedLogOdds(logSeconds-median)
		health.SlowLogOdds = max(logOdds, -float64(len(assignment.Machine.Assignments)))
	}
	job.RecordRunTime(logSeconds)
	distribution.recordTask(job.Spec, logSeconds)
}

// recordTask adds the run time of a completed task to the moving averages.
func (d *Distribution) recordTask(spec *jobs.Spec, logSeconds float64) {
	d.RunTimes++
	d.Mean += max(minTaskWeight, 1/d.RunTimes) * (logSeconds - d.Mean)
	if !hasEstimate(spec) {
		return
	}
	limit := math.Log(maxEstimateError)
	estimateError := min(max(logSeconds-math.Log(estimateS(spec)), -limit), limit)
	d.Tasks++
	d.Correction += max(minTaskWeight, 1/d.Tasks) * (estimateError - d.Correction)
}

// JobCompleted records the variance of run times among the tasks of a completed job.
func (e *Estimator) JobCompleted(job *cluster.Job) {
	count := float64(len(job.RunTimeLogs))
	if count < cluster.MinRunTimes {
		return
	}
	mean, squares := 0.0, 0.0
	for _, logSeconds := range job.RunTimeLogs {
		mean += logSeconds / count
	}
	for _, logSeconds := range job.RunTimeLogs {
		squares += (logSeconds - mean) * (logSeconds - mean)
	}
	distribution := e.ForClass(job.Spec.Class)
	distribution.Jobs++
	weight := max(minJobWeight, 1/(distribution.Jobs+1))
	distribution.Variance += weight * (squares/(count-1) - distribution.Variance)
}

// CompletionProbability returns the probability that a task which has run for ranS seconds ends
// within moreS seconds, given that such a task usually takes usualS seconds.
func (d *Distribution) CompletionProbability(ranS, moreS, usualS float64) float64 {
	if ranS <= 0 {
		return 1 - d.doubledTailProbability(math.Log(moreS/usualS))/2
	}
	return 1 - d.doubledTailProbability(math.Log((ranS+moreS)/usualS))/d.doubledTailProbability(math.Log(ranS/usualS))
}

// doubledTailProbability returns twice the probability that a task exceeds a multiple of its usual
// run time. The multiple is given as a logarithm.
func (d *Distribution) doubledTailProbability(logMultiple float64) float64 {
	return max(math.Erfc(logMultiple/d.deviation()/math.Sqrt2), minTailProbability)
}

// deviation returns the standard deviation of log run times. It has a lower bound because a few
// tasks may agree by chance.
func (d *Distribution) deviation() float64 { return max(math.Sqrt(d.Variance), minDeviation) }
