package rules

import "time"

// LeaseValidity tracks until when a leader may act. The zero value belongs to a controller that
// holds no term.
type LeaseValidity struct {
	HoldsTerm  bool // set from winning a term until giving it up for good
	ValidUntil time.Duration
}

// Valid reports whether the leader may act.
func (v *LeaseValidity) Valid(now time.Duration) bool { return v.HoldsTerm && now < v.ValidUntil }

// ExtendByRenewal records a successful renewal of the lease in the store, which is valid for
// validFor from when it was sent. It may restore a validity that has expired, because the success
// of the renewal proves that the lease itself never expired.
func (v *LeaseValidity) ExtendByRenewal(sentAt, validFor time.Duration) {
	v.ValidUntil = max(v.ValidUntil, sentAt+validFor)
}

// ExtendByGrants records leases that all peers have granted, which are valid for validFor from
// when they were requested. It returns false, and extends nothing, if the validity has expired.
// In the meantime, another controller may have won the leadership, and a lease that it has granted
// does not stop it from leading itself.
func (v *LeaseValidity) ExtendByGrants(now, requestedAt, validFor time.Duration) bool {
	if !v.Valid(now) {
		return false
	}
	v.ValidUntil = max(v.ValidUntil, requestedAt+validFor)
	return true
}

// ReliesOnNoGrant reports whether no lease granted by a peer so far can extend the validity,
// because the controller holds no term. A controller that holds a term relies on grants even after
// its validity has expired: a late response to a renewal may restore the validity, and a grant may
// then extend it.
func (v *LeaseValidity) ReliesOnNoGrant() bool { return !v.HoldsTerm }
