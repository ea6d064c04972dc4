// Package runtimes estimates how long tasks run, from what their owners say and from what was
// observed, and finds machines on which they run much longer than elsewhere.
//
// Run times are kept as logarithms: within a class they vary by factors. Nothing here is safe
// for concurrent use; it belongs to the leader's event loop.
package runtimes

import (
	"math"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
)

const (
	minTaskWeight  = 0.05 // of one completed task in the correction of estimates
	minJobWeight   = 0.2  // of one completed job in the variance
	priorDeviation = 0.7  // before anything is known, run times vary by a factor of two
	minDeviation   = priorDeviation / 4
	minTailChance  = 1e-300 // so that its logarithm is finite
	minRunTimeS    = 1e-3
)

// Estimator knows the run times of all classes of jobs.
type Estimator struct {
	byClass map[string]*Distribution
}

// NewEstimator makes an estimator that has observed nothing.
func NewEstimator() *Estimator { return &Estimator{byClass: map[string]*Distribution{}} }

// Distribution is what was observed of the run times of a class.
type Distribution struct {
	Correction float64 // how far run times are off their owners' estimates, as a logarithm
	Variance   float64 // of run times within a job
	Tasks      float64 // observed for the correction
	Jobs       float64 // observed for the variance
}

// Of returns what was observed of a class, to be read and changed by the caller.
func (e *Estimator) Of(class string) *Distribution {
	distribution := e.byClass[class]
	if distribution == nil {
		distribution = &Distribution{Variance: priorDeviation * priorDeviation}
		e.byClass[class] = distribution
	}
	return distribution
}

// Seconds is how long a task of the job will run: its owner's estimate, corrected by how far
// the estimates of its class have been off lately.
func (e *Estimator) Seconds(spec *jobs.Spec) float64 {
	if distribution := e.byClass[spec.Class]; distribution != nil {
		return spec.EstimatedRuntimeS * math.Exp(distribution.Correction)
	}
	return spec.EstimatedRuntimeS
}

// JobSeconds is the same where tasks of this very job may have been observed.
func (e *Estimator) JobSeconds(job *cluster.Job) float64 {
	if median, known := job.MedianRunTime(); known {
		return math.Exp(median)
	}
	return e.Seconds(job.Spec)
}

// TaskCompleted observes a completed task. Nobody may have seen it start: then it tells nothing.
func (e *Estimator) TaskCompleted(assignment *cluster.Assignment, now time.Time) {
	job, seconds := assignment.Job, now.Sub(assignment.RunningSince).Seconds()
	startMissed := assignment.RunningSince.Equal(assignment.CreatedAt) || assignment.Restored && job.IsGang()
	if startMissed || job.Spec.EstimatedRuntimeS <= 0 || seconds <= 0 {
		return
	}
	distribution, logSeconds := e.Of(job.Spec.Class), math.Log(seconds)
	if median, known := job.MedianRunTime(); known && !job.IsGang() { // a gang is as slow as its slowest
		health := &assignment.Machine.Health
		odds := health.SlowLogOdds + distribution.stragglerLogOdds(logSeconds-median)
		health.SlowLogOdds = max(odds, -float64(len(assignment.Machine.Assignments)))
	}
	job.RecordRunTime(logSeconds)
	distribution.Tasks++
	weight := max(minTaskWeight, 1/distribution.Tasks)
	distribution.Correction += weight * (logSeconds - math.Log(job.Spec.EstimatedRuntimeS) - distribution.Correction)
}

// JobCompleted observes how much the run times of a completed job's tasks vary.
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
	distribution := e.Of(job.Spec.Class)
	distribution.Jobs++
	weight := max(minJobWeight, 1/(distribution.Jobs+1))
	distribution.Variance += weight * (squares/(count-1) - distribution.Variance)
}

// ChanceToEnd is the chance that a task that has run for some time ends within so much more, by
// how long it usually takes. All in seconds.
func (d *Distribution) ChanceToEnd(ran, more, usual float64) float64 {
	if ran <= 0 {
		return 1 - d.tailChance(math.Log(more/usual))/2
	}
	return 1 - d.tailChance(math.Log((ran+more)/usual))/d.tailChance(math.Log(ran/usual))
}

// tailChance is twice the chance that a task runs for longer than a multiple of its usual time,
// which is given as a logarithm.
func (d *Distribution) tailChance(logMultiple float64) float64 {
	return max(math.Erfc(logMultiple/d.deviation()/math.Sqrt2), minTailChance)
}

// deviation has a lower bound: a few tasks may agree by chance.
func (d *Distribution) deviation() float64 { return max(math.Sqrt(d.Variance), minDeviation) }
