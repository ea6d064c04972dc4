package leader

import (
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
)

// runS is how long a task of the job will run: its owner's estimate, corrected
// by how far the estimates of its class have been off lately.
func (l *Leader) runS(s *jobs.Spec) float64 {
	if r := l.runTimes[s.Class]; r != nil {
		return s.EstimatedRuntimeS * math.Exp(r.off)
	}
	return s.EstimatedRuntimeS
}

// runTimes is what was learnt of the run times of a class, as logarithms: how far
// they are off the owners' estimates, and how much they vary within a job.
type runTimes struct {
	off, variance float64
	tasks, jobs   float64
}

const (
	taskWeight  = 0.05 // what one completed task counts in the end
	jobWeight   = 0.2  // what one completed job counts
	priorSpread = 0.7  // before anything is known, run times vary by a factor of two
	mostTook    = 256  // run times that are kept of a job
	leastTook   = 4    // run times of a job that tell how much they vary
)

func (l *Leader) runsOf(class string) *runTimes {
	r := l.runTimes[class]
	if r == nil {
		r = &runTimes{variance: priorSpread * priorSpread}
		l.runTimes[class] = r
	}
	return r
}

// ran learns from a completed task.
func (l *Leader) ran(a *assignment, now time.Time) {
	took := now.Sub(a.since).Seconds()
	if a.since.Equal(a.born) || a.restored && a.job.isGang() || a.job.spec.EstimatedRuntimeS <= 0 || took <= 0 {
		return // nobody saw it start
	}
	r, x := l.runsOf(a.job.spec.Class), math.Log(took)
	if usual, known := a.job.usual(); known && !a.job.isGang() { // a gang is as slow as its slowest
		a.m.slowness = max(a.m.slowness+r.slowIfTook(x-usual), -float64(len(a.m.assigned)))
	}
	a.job.took(x)
	r.tasks++
	r.off += max(taskWeight, 1/r.tasks) * (x - math.Log(a.job.spec.EstimatedRuntimeS) - r.off)
}

// took notes how long a task of the job ran.
func (j *job) took(x float64) {
	if len(j.tooks) < mostTook {
		i, _ := slices.BinarySearch(j.tooks, x)
		j.tooks = slices.Insert(j.tooks, i, x)
	}
}

// usual is how long a task of the job runs: the middle one of all that have
// begun. Before half of them are done it is not known, as the quick ones are done
// first: by them, the rest would all look slow.
func (j *job) usual() (x float64, known bool) {
	begun := len(j.tooks) + j.running
	if len(j.tooks) < leastTook/2 || 2*len(j.tooks) < begun {
		return 0, false
	}
	return j.tooks[min(begun/2, len(j.tooks)-1)], true
}

// vary learns from a completed job how much its tasks' run times vary.
func (l *Leader) vary(j *job) {
	n := float64(len(j.tooks))
	if n < leastTook {
		return
	}
	mean, sum := 0.0, 0.0
	for _, x := range j.tooks {
		mean += x / n
	}
	for _, x := range j.tooks {
		sum += (x - mean) * (x - mean)
	}
	r := l.runsOf(j.spec.Class)
	r.jobs++
	r.variance += max(jobWeight, 1/(r.jobs+1)) * (sum/(n-1) - r.variance)
}

// longer is the chance, times two, that a task runs for longer than a multiple of
// its usual time, as a logarithm.
func (r *runTimes) longer(x float64) float64 { return max(math.Erfc(x/r.spread()/math.Sqrt2), 1e-300) }

// endsWithin is the chance that a task that has run for some time ends within so
// much more, by how long it usually takes. All in seconds.
func (r *runTimes) endsWithin(ran, more, usual float64) float64 {
	if ran <= 0 {
		return 1 - r.longer(math.Log(more/usual))/2
	}
	return 1 - r.longer(math.Log((ran+more)/usual))/r.longer(math.Log(ran/usual))
}

// spread is never taken for nothing: a few tasks may agree by chance.
func (r *runTimes) spread() float64 { return max(math.Sqrt(r.variance), priorSpread/4) }
