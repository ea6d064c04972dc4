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

func limiter(each int, gap time.Duration) *rate.Limiter {
	if gap <= 0 {
		return rate.NewLimiter(0, 1)
	}
	return rate.NewLimiter(rate.Limit(float64(each)/gap.Seconds()), max(1, int(burstShare*float64(each))))
}

// newVerdictLimiter makes a pacer that is ready for its first verdicts.
func newVerdictLimiter(each int, gap time.Duration) *verdictLimiter {
	return &verdictLimiter{limiter(each, gap)}
}

// allow takes the turn for one verdict, if there is one.
func (p *verdictLimiter) allow(now time.Time) bool { return p.limiter.AllowN(now, 1) }

// setRate changes the pace; no gap stops all verdicts. A pacer that was saturated
// hands over no turns: full ones would let a burst through at each change.
func (p *verdictLimiter) setRate(each int, gap time.Duration, now time.Time) {
	next := limiter(each, gap)
	if p.limiter.Limit() == next.Limit() {
		return
	}
	saturated := !p.limiter.AllowN(now, 1)
	if saturated || gap <= 0 {
		next.AllowN(now, next.Burst())
	}
	p.limiter = next
}
