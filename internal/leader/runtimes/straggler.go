package runtimes

import (
	"math"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// Stragglers are detected by a likelihood ratio: how much more likely the run times on a machine are
// if it is slow than if it is not. Run times of one class vary by a factor of two and more, so one
// long-running task is weak evidence, and several on the same machine are strong evidence.
const (
	// SlowdownFactor is the factor by which tasks take longer on the slow machines to be detected.
	SlowdownFactor = 3.0

	stragglerOdds = 1000.0 // odds from which a machine counts as a straggler
)

// IsStraggler reports whether a machine runs tasks much slower than others, and returns the odds
// that it does.
func (e *Estimator) IsStraggler(machine *cluster.Machine) (slow bool, odds float64) {
	logOdds := e.StragglerLogOdds(machine)
	return logOdds >= math.Log(stragglerOdds), math.Exp(logOdds)
}

// StragglerLogOdds returns the log odds that a machine is slow, given the tasks that have completed
// on it and those that are running.
func (e *Estimator) StragglerLogOdds(machine *cluster.Machine) float64 {
	logOdds := machine.Health.SlowLogOdds
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || a.ObservedState != workers.StateRunning || a.Job.Spec.Shape != jobs.Batch || !a.Job.MayStopAsSlow(a.Index) {
			continue
		}
		// A task that began before its start was observed has run for longer. One on a machine that is silent may
		// have ended since the newest message.
		if median, known := a.Job.MedianRunTime(); known {
			ran := max(machine.Worker.ObservedAt.Sub(a.RunningSince).Seconds(), minRunTimeS)
			logOdds += e.ForClass(a.Job.Spec.Class).runningLogOdds(math.Log(ran) - median)
		}
	}
	return logOdds
}

// FinishesSoonerElsewhere reports whether a task on a slow machine would end sooner if it were
// restarted on another machine.
func (e *Estimator) FinishesSoonerElsewhere(assignment *cluster.Assignment, now time.Time) bool {
	ran, seconds := now.Sub(assignment.RunningSince).Seconds(), e.RunTimeS(assignment.Job.Spec)
	return SlowdownFactor*seconds-ran > seconds || ran > SlowdownFactor*seconds
}

// completedLogOdds returns the log odds from a completed task that took a multiple of the usual run
// time. The multiple is given as a logarithm.
func (d *Distribution) completedLogOdds(logMultiple float64) float64 {
	logSlow := math.Log(SlowdownFactor)
	return (2*logMultiple*logSlow - logSlow*logSlow) / (2 * d.deviation() * d.deviation())
}

// runningLogOdds returns the log odds from a task that is still running.
func (d *Distribution) runningLogOdds(logMultiple float64) float64 {
	if logMultiple < 0 {
		return 0
	}
	return math.Log(d.doubledTailProbability(logMultiple-math.Log(SlowdownFactor))) - math.Log(d.doubledTailProbability(logMultiple))
}
