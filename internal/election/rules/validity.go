package rules

import "time"

// LeaseValidity is until when a holder may act.
type LeaseValidity struct {
	Held  bool // from when the term was taken until it was given up for good
	Until time.Duration
}

// Valid tells whether the holder may act.
func (c *LeaseValidity) Valid(now time.Duration) bool { return c.Held && now < c.Until }

// ExtendByRenewal takes in a renewal that was sent at a moment and has succeeded: the lease has lived
// since, whatever happened meanwhile.
func (c *LeaseValidity) ExtendByRenewal(sent, safe time.Duration) { c.Until = max(c.Until, sent+safe) }

// ExtendByGrants takes in that all others have promised, when they were asked at a moment. Once
// uncovered, that does not count any more: another may have taken the term in between, and has
// promised nothing against itself.
func (c *LeaseValidity) ExtendByGrants(now, sent, safe time.Duration) bool {
	if !c.Valid(now) {
		return false
	}
	c.Until = max(c.Until, sent+safe)
	return true
}

// ReliesOnNoGrant tells whether no promise that anybody gave earlier can help this node: it has
// given up every term that it held in this life. One that is only not covered at the moment may
// be again, by a renewal whose answer is late, and then by a promise.
func (c *LeaseValidity) ReliesOnNoGrant() bool { return !c.Held }
