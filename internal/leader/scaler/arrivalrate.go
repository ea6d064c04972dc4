package scaler

import (
	"math"
	"time"
)

// arrivalRate estimates the rate at which batch work arrives, in CPUs (CPU seconds a second),
// as an exponentially decaying average.
type arrivalRate struct {
	window time.Duration // until a job that got nothing goes first
	cpus   float64       // the rate, as of the moment below
	asOf   time.Time
}

// add counts work that has arrived a while ago. The older it is, the less it counts.
func (r *arrivalRate) add(cpuSeconds float64, age time.Duration, now time.Time) {
	r.decay(now)
	window := r.window.Seconds()
	r.cpus += cpuSeconds / window * math.Exp(-max(0, age.Seconds())/window)
}

// at returns the rate at a moment not before the last one asked for.
func (r *arrivalRate) at(now time.Time) float64 {
	r.decay(now)
	return r.cpus
}

func (r *arrivalRate) decay(now time.Time) {
	r.cpus *= math.Exp(-now.Sub(r.asOf).Seconds() / r.window.Seconds())
	r.asOf = now
}
