package liveness

import (
	"time"

	"golang.org/x/time/rate"
)

// verdictLimiter is the rate limiter of a zone's verdicts: so many in an interval, and never
// more at once than come due in a part of it.
type verdictLimiter struct{ limiter *rate.Limiter }

// burstShare is the part of an interval's verdicts that may come at once: ticks come a few
// times in an interval, and in a large zone many verdicts are due at each.
const burstShare = 1.0 / 3

// newVerdictLimiter makes a limiter that is ready for its first verdicts. No interval means no
// verdicts but one.
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

// allow tells whether one verdict may be given, and uses up its turn if so.
func (l *verdictLimiter) allow(now time.Time) bool { return l.limiter.AllowN(now, 1) }

// setRate changes the rate; no interval stops all verdicts. A limiter that has no turn left
// begins the new rate without any: a full burst at each change of the rate would add up to
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

// limiterOf returns a zone's limiter, set to the zone's present size: much the same share of a
// zone may be judged dead in a given time, however large it is.
func (d *Detector) limiterOf(zone *zone, now time.Time) *verdictLimiter {
	verdicts := max(1, zone.machineCount/max(1, d.cfg.MachinesPerVerdict))
	if zone.limiter == nil {
		zone.limiter = newVerdictLimiter(verdicts, d.cfg.VerdictInterval)
	}
	zone.limiter.setRate(verdicts, d.cfg.VerdictInterval, now)
	return zone.limiter
}
