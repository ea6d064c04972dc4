package liveness

import (
	"time"

	"golang.org/x/time/rate"
)

// verdictLimiter lets through a number of verdicts per gap, never more at once than come
// due in a part of it.
type verdictLimiter struct{ limiter *rate.Limiter }

// burstShare is the part of a gap's verdicts that may come at once: decisions
// are made a few times in a gap, and a large zone has many in each.
const burstShare = 1.0 / 3

func newRateLimiter(verdicts int, interval time.Duration) *rate.Limiter {
	if interval <= 0 {
		return rate.NewLimiter(0, 1)
	}
	return rate.NewLimiter(rate.Limit(float64(verdicts)/interval.Seconds()), max(1, int(burstShare*float64(verdicts))))
}

// newVerdictLimiter makes a pacer that is ready for its first verdicts.
func newVerdictLimiter(verdicts int, interval time.Duration) *verdictLimiter {
	return &verdictLimiter{newRateLimiter(verdicts, interval)}
}

// allow takes the turn for one verdict, if there is one.
func (p *verdictLimiter) allow(now time.Time) bool { return p.limiter.AllowN(now, 1) }

// setRate changes the pace; no gap stops all verdicts. A pacer that was saturated
// hands over no turns: full ones would let a burst through at each change.
func (p *verdictLimiter) setRate(verdicts int, interval time.Duration, now time.Time) {
	next := newRateLimiter(verdicts, interval)
	if p.limiter.Limit() == next.Limit() {
		return
	}
	saturated := !p.limiter.AllowN(now, 1)
	if saturated || interval <= 0 {
		next.AllowN(now, next.Burst())
	}
	p.limiter = next
}

// limiterOf returns a zone's pacer. The share of a zone that may be given up in a
// given time is much the same, however large it is.
func (w *Detector) limiterOf(z *zone, now time.Time) *verdictLimiter {
	verdicts := max(1, z.machineCount/max(1, w.cfg.MachinesPerVerdict))
	if z.limiter == nil {
		z.limiter = newVerdictLimiter(verdicts, w.cfg.VerdictInterval)
	}
	z.limiter.setRate(verdicts, w.cfg.VerdictInterval, now)
	return z.limiter
}
