package scaler

import (
	"math"
	"time"
)

// arrivalRate estimates the arrival rate of batch work in CPUs, that is CPU seconds per second, as
// an exponentially decaying average.
type arrivalRate struct {
	window time.Duration // time constant of the decay: the starvation limit of a job
	cpus   float64       // the rate as of asOf
	asOf   time.Time
}

// add counts work that arrived age ago. Its weight decays with age.
func (r *arrivalRate) add(cpuSeconds float64, age time.Duration, now time.Time) {
	r.decay(now)
	window := r.window.Seconds()
	r.cpus += cpuSeconds / window * math.Exp(-max(0, age.Seconds())/window)
}

// cpusAt returns the rate at a time that is not before the last one asked for.
func (r *arrivalRate) cpusAt(now time.Time) float64 {
	r.decay(now)
	return r.cpus
}

func (r *arrivalRate) decay(now time.Time) {
	r.cpus *= math.Exp(-now.Sub(r.asOf).Seconds() / r.window.Seconds())
	r.asOf = now
}
