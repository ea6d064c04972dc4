package leader

import (
	"log/slog"
	"math"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// A machine is found slow by the odds: how much likelier the run times on it are
// if it is slow than if it is not. Run times of one class vary by a factor of two
// and more, so that one task that runs for long says little, and several on the
// same machine say much.
const (
	slowFactor = 3.0    // how many times as long tasks run on the machines to be found
	slowOdds   = 1000.0 // how much likelier it must be
)

// slowIfTook is the logarithm of the odds that a task gives that took so much
// longer than usual, as a logarithm too.
func (r *runTimes) slowIfTook(x float64) float64 {
	slow := math.Log(slowFactor)
	return (2*x*slow - slow*slow) / (2 * r.spread() * r.spread())
}

// slowIfRuns is the same for a task that is still running.
func (r *runTimes) slowIfRuns(x float64) float64 {
	if x < 0 {
		return 0
	}
	return math.Log(r.longer(x-math.Log(slowFactor))) - math.Log(r.longer(x))
}

// findSlow finds machines that run tasks much slower than others, and takes the
// batch work off them that would be over sooner elsewhere.
func (l *Leader) findSlow(now time.Time) {
	for _, m := range l.machines.all {
		if m.phase != up || len(m.assigned) == 0 {
			continue
		}
		if !m.offer.Straggler {
			odds := l.slowOdds(m, now)
			if odds < math.Log(slowOdds) {
				continue
			}
			slog.Info("machine slow", "machine", m.id, "term", l.token, "odds", math.Exp(odds))
			m.offer.Straggler = true
		}
		services := false
		for _, a := range m.assigned {
			if !a.job.spec.Ends() {
				services = true
				continue
			}
			took, runS := now.Sub(a.since).Seconds(), l.runS(a.job.spec)
			if a.outcome == open && !a.stop && (slowFactor*runS-took > runS || took > slowFactor*runS) {
				l.stopWithGang(a, a.job.spec.SaveS)
				l.replan = true
			}
		}
		m.draining = m.draining || !services
		l.updateCapacity(m, now)
	}
}

// slowOdds is how much likelier a machine is slow than not, as a logarithm.
func (l *Leader) slowOdds(m *machine, now time.Time) float64 {
	odds := m.slowness
	for _, a := range m.assigned {
		if a.outcome != open || a.seen != workers.Running || a.job.spec.Shape != jobs.Batch {
			continue
		}
		// What an earlier leader began has run for longer than we have seen.
		if usual, known := a.job.usual(); known {
			odds += l.runsOf(a.job.spec.Class).slowIfRuns(math.Log(max(now.Sub(a.since).Seconds(), 1e-3)) - usual)
		}
	}
	return odds
}
