package controller

import (
	"sync/atomic"
	"time"
)

// ready tells whether this node can take requests. One that the state service
// alone refuses sends its users to others, and so does one that has lost the state
// service and the leader together, as it is most likely cut off itself. In an outage
// of all it stays, since users would only find nobody, and come back later than the
// service does.
func (n *Controller) ready() bool {
	if !n.cache.Settled() && time.Since(n.born) < 2*n.derived.TermLease {
		return false // it has just begun, and cannot tell a new job from a lost one yet
	}
	if !n.store.Failing() {
		return true
	}
	ago := func(at *atomic.Int64) (time.Duration, bool) {
		t := time.Duration(at.Load())
		return time.Since(n.born) - t, t != 0
	}
	if since, ever := ago(&n.served); ever && since <= 2*n.derived.Report {
		return false
	}
	since, ever := ago(&n.heard)
	return !ever || since <= n.derived.Cancel // most outages are over by then
}
