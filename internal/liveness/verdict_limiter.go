package liveness

import (
	"time"

	"golang.org/x/time/rate"
)

// verdictLimiter limits the rate of verdicts in one zone: it allows a number of verdicts per
// interval, and a burst of a fraction of that number, at least one.
type verdictLimiter struct{ limiter *rate.Limiter }

// burstShare is the fraction of an interval's verdicts that may be given at once. There are a few
// ticks per interval, and in a large zone many verdicts are due at each.
const burstShare = 1.0 / 3

// newVerdictLimiter returns a limiter with a full burst available. With an interval of zero it
// allows a single verdict.
func newVerdictLimiter(verdicts int, interval time.Duration) *verdictLimiter {
	return &verdictLimiter{newRateLimiter(verdicts, interval)}
}

func newRateLimiter(verdicts int, interval time.Duration) *rate.Limiter {
	if interval <= 0 {
		return rate.NewLimiter(0, 1)
	}
	burst := max(1, int(burstShare*float64(verdicts)))
	return rate.NewLimiter(rate.Limit(float64(verdicts)/interval.Seconds()), burst)
}

// allow reports whether a verdict may be given, and if so consumes a token.
func (l *verdictLimiter) allow(now time.Time) bool { return l.limiter.AllowN(now, 1) }

// setRate changes the rate; an interval of zero stops all verdicts. If the limiter has no token
// left, the new rate starts without any: a full burst at each change of the rate would add up to
// more than either rate allows.
func (l *verdictLimiter) setRate(verdicts int, interval time.Duration, now time.Time) {
	next := newRateLimiter(verdicts, interval)
	if l.limiter.Limit() == next.Limit() {
		return
	}
	exhausted := !l.limiter.AllowN(now, 1)
	if exhausted || interval <= 0 {
		next.AllowN(now, next.Burst())
	}
	l.limiter = next
}

// limiterOf returns a zone's limiter, adjusted to the current size of the zone, so that about the
// same fraction of a zone can be judged dead in a given time whatever its size.
func (d *Detector) limiterOf(zone *zone, now time.Time) *verdictLimiter {
	verdicts := max(1, zone.machineCount/max(1, d.cfg.MachinesPerVerdict))
	if zone.limiter == nil {
		zone.limiter = newVerdictLimiter(verdicts, d.cfg.VerdictInterval)
	}
	zone.limiter.setRate(verdicts, d.cfg.VerdictInterval, now)
	return zone.limiter
}
