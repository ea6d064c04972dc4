package runtimes

import (
	"math"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// A straggler is found by the likelihood ratio: how much likelier the run times on a machine
// are if it is slow than if it is not. Run times of one class vary by a factor of two and more,
// so that one task that runs for long says little, and several on the same machine say much.
const (
	// SlowFactor is how many times as long tasks run on the machines to be found.
	SlowFactor = 3.0

	stragglerOdds = 1000.0 // from which a machine counts as one
)

// IsStraggler tells whether a machine runs tasks much slower than others, and the odds of it.
func (e *Estimator) IsStraggler(machine *cluster.Machine, now time.Time) (slow bool, odds float64) {
	logOdds := e.StragglerLogOdds(machine, now)
	return logOdds >= math.Log(stragglerOdds), math.Exp(logOdds)
}

// StragglerLogOdds is how much likelier a machine is slow than not, as a logarithm, by the tasks
// that have completed there and those that run.
func (e *Estimator) StragglerLogOdds(machine *cluster.Machine, now time.Time) float64 {
	logOdds := machine.Health.SlowLogOdds
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || a.ObservedState != workers.StateRunning || a.Job.Spec.Shape != jobs.Batch {
			continue
		}
		// A task that an earlier leader began has run for longer than was seen.
		if median, known := a.Job.MedianRunTime(); known {
			ran := max(now.Sub(a.RunningSince).Seconds(), minRunTimeS)
			logOdds += e.Of(a.Job.Spec.Class).runningLogOdds(math.Log(ran) - median)
		}
	}
	return logOdds
}

// SoonerElsewhere tells whether a task would be over sooner if it began anew on another machine,
// given that its own is slow.
func (e *Estimator) SoonerElsewhere(assignment *cluster.Assignment, now time.Time) bool {
	ran, seconds := now.Sub(assignment.RunningSince).Seconds(), e.Seconds(assignment.Job.Spec)
	return SlowFactor*seconds-ran > seconds || ran > SlowFactor*seconds
}

// stragglerLogOdds is the logarithm of the odds by a completed task that took a multiple of the
// usual time, which is given as a logarithm too.
func (d *Distribution) stragglerLogOdds(logMultiple float64) float64 {
	logSlow := math.Log(SlowFactor)
	return (2*logMultiple*logSlow - logSlow*logSlow) / (2 * d.deviation() * d.deviation())
}

// runningLogOdds is the same by a task that is still running.
func (d *Distribution) runningLogOdds(logMultiple float64) float64 {
	if logMultiple < 0 {
		return 0
	}
	return math.Log(d.tailChance(logMultiple-math.Log(SlowFactor))) - math.Log(d.tailChance(logMultiple))
}
