package controller

import (
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

// readiness decides whether users should send requests to this controller. All methods may be
// called from any goroutine.
type readiness struct {
	startedAt time.Time
	derived   settings.Derived
	store     *kvstore.Client
	cache     *jobcache.Cache

	// When this controller last heard from the leader (which may be this controller), and when
	// the leader last reported that the key-value store responds to it. In nanoseconds since
	// startedAt; 0 means never.
	leaderHeardAt, leaderReachedStoreAt atomic.Int64
}

func (r *readiness) noteLeaderHeard() { r.leaderHeardAt.Store(time.Since(r.startedAt).Nanoseconds()) }
func (r *readiness) noteLeaderReachedStore() {
	r.leaderReachedStoreAt.Store(time.Since(r.startedAt).Nanoseconds())
}

// ready reports whether this controller should receive requests. If the key-value store fails
// only for this controller, its users are better served by another one. The same holds if it has
// lost both the store and the leader, because it is most likely partitioned itself. It stays ready
// during a store outage that affects all controllers: users would find no ready controller at all
// and would return later than the store does.
func (r *readiness) ready() bool {
	if !r.cache.Readiness.ProvenCurrent() && time.Since(r.startedAt) < 2*r.derived.Election.LeaseDuration {
		return false // a controller that has just started cannot tell a new job from a lost one
	}
	if !r.store.Failing() {
		return true
	}
	if elapsed, known := r.since(&r.leaderReachedStoreAt); known && elapsed <= 2*r.derived.Workers.HeartbeatInterval {
		return false
	}
	elapsed, known := r.since(&r.leaderHeardAt)
	return !known || elapsed <= r.derived.Workers.CancelDeadline // most outages have ended by this deadline
}

// since returns the time elapsed since moment, and false if moment is not set.
func (r *readiness) since(moment *atomic.Int64) (elapsed time.Duration, known bool) {
	at := time.Duration(moment.Load())
	return time.Since(r.startedAt) - at, at != 0
}
