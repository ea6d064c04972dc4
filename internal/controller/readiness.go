package controller

import (
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

// readiness decides whether users should send their requests to this controller. All methods
// may be called from any goroutine.
type readiness struct {
	startedAt time.Time
	derived   settings.Derived
	store     *kvstore.Client
	cache     *jobcache.Cache

	// When the leader, this controller included, was last heard of, and when it last said that
	// the key-value store answers it. In nanoseconds since startedAt; 0: never.
	leaderHeardAt, leaderServedAt atomic.Int64
}

func (r *readiness) leaderHeard()  { r.leaderHeardAt.Store(time.Since(r.startedAt).Nanoseconds()) }
func (r *readiness) leaderServed() { r.leaderServedAt.Store(time.Since(r.startedAt).Nanoseconds()) }

// ready tells whether this controller can take requests. One that the key-value store alone
// refuses sends its users to others, and so does one that has lost the store and the leader
// together, as it is most likely cut off itself. In an outage of all it stays ready, since
// users would only find nobody, and come back later than the store does.
func (r *readiness) ready() bool {
	if !r.cache.Readiness.ProvenCurrent() && time.Since(r.startedAt) < 2*r.derived.Election.LeaseDuration {
		return false // it has just started, and can not tell a new job from a lost one yet
	}
	if !r.store.Failing() {
		return true
	}
	if ago, ever := r.since(&r.leaderServedAt); ever && ago <= 2*r.derived.Workers.HeartbeatInterval {
		return false
	}
	ago, ever := r.since(&r.leaderHeardAt)
	return !ever || ago <= r.derived.Workers.CancelDeadline // most outages are over by then
}

// since returns how long ago a moment was, and false if it never came.
func (r *readiness) since(moment *atomic.Int64) (ago time.Duration, ever bool) {
	at := time.Duration(moment.Load())
	return time.Since(r.startedAt) - at, at != 0
}
