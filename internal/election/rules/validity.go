package rules

import "time"

// LeaseValidity is until when a leader may act. The zero value is that of a node that does not
// hold the leadership.
type LeaseValidity struct {
	Held  bool // from when the leadership was won until it was given up for good
	Until time.Duration
}

// Valid tells whether the leader may act.
func (v *LeaseValidity) Valid(now time.Duration) bool { return v.Held && now < v.Until }

// ExtendByRenewal takes in that a renewal of the lease in the store has succeeded, which was
// sent at a moment and counts for a duration from then. It may come after the validity has ended:
// that the renewal succeeded proves that the lease never did.
func (v *LeaseValidity) ExtendByRenewal(sent, validFor time.Duration) {
	v.Until = max(v.Until, sent+validFor)
}

// ExtendByGrants takes in that all peers have granted a lease which they were asked for at a
// moment, and which counts for a duration from then. It returns false, and extends nothing, if
// the validity has ended: another node may have won the leadership in between, and its grant
// does not bind it against itself.
func (v *LeaseValidity) ExtendByGrants(now, sent, validFor time.Duration) bool {
	if !v.Valid(now) {
		return false
	}
	v.Until = max(v.Until, sent+validFor)
	return true
}

// ReliesOnNoGrant tells whether no grant that a peer gave up to now can help this node: it holds
// no leadership. A node that holds one relies on grants even while its validity has ended, as
// the late answer to a renewal may restore that, and a grant then extend it.
func (v *LeaseValidity) ReliesOnNoGrant() bool { return !v.Held }
