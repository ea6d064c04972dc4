package liveness

import (
	"time"

	"golang.org/x/time/rate"
)

// Pacer lets through one verdict per gap, never two at once.
type Pacer struct{ limiter *rate.Limiter }

// NewPacer makes a pacer that is ready for its first verdict.
func NewPacer(gap time.Duration) *Pacer {
	return &Pacer{rate.NewLimiter(rate.Every(gap), 1)}
}

// Allow takes the turn for one verdict, if there is one.
func (p *Pacer) Allow(now time.Time) bool { return p.limiter.AllowN(now, 1) }

// Swap changes the gap; 0 stops all verdicts. A pacer that was saturated hands
// over an empty turn: a full one would let a burst through at each change.
func (p *Pacer) Swap(gap time.Duration, now time.Time) {
	limit := rate.Limit(0)
	if gap > 0 {
		limit = rate.Every(gap)
	}
	if p.limiter.Limit() == limit {
		return
	}
	saturated := !p.limiter.AllowN(now, 1)
	next := rate.NewLimiter(limit, 1)
	if saturated || gap == 0 {
		next.AllowN(now, 1)
	}
	p.limiter = next
}
