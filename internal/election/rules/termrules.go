// Package rules holds the decisions by which at most one node leads at a time: what a
// promise forbids, when it may be given, what covers a holder, and when a node that was
// restarted may disregard what its earlier life may have promised. They are pure: times are
// readings of one node's own steady clock. internal/termmodel explores them; docs/design.md
// has the proof.
package rules

import "time"

// Giver is what a node has promised others, and the campaign of its own that stands against it.
type Giver struct {
	Until       time.Duration // takes no term before this
	FromEarlier bool          // it stands for what an earlier life may have promised
	Open        bool          // the outcome of a campaign is unknown
	After       uint64        // the token that this campaign builds on
	Known       uint64        // highest token known to have been given out
}

// Restarted is a node that has just begun: its earlier life may have promised something just
// before its end, for as long as one lease.
func Restarted(now, lease time.Duration) Giver {
	return Giver{Until: now + lease, FromEarlier: true}
}

// Left is how long this node must not campaign. A node whose own earlier life holds the term,
// or that finds no term ever taken, need not wait out what that life may have promised: it
// cannot have kept another in office.
func (g *Giver) Left(now time.Duration, first bool) time.Duration {
	if g.FromEarlier && first {
		return 0
	}
	return max(0, g.Until-now)
}

// Campaign notes that a transaction that takes the term is about to be sent; it returns false
// if a promise forbids that.
func (g *Giver) Campaign(now time.Duration, first bool, after uint64) bool {
	if g.Left(now, first) > 0 {
		return false
	}
	g.Open, g.After = true, after
	return true
}

// Settled notes that the campaign's outcome is known.
func (g *Giver) Settled() { g.Open = false }

// Know notes a token that was given out.
func (g *Giver) Know(token uint64) { g.Known = max(g.Known, token) }

// Give promises not to take the term for the time of one lease. It is refused while a campaign
// that could still succeed against this holder is on its way (one that builds on an older token
// cannot), and to a holder that has been succeeded.
func (g *Giver) Give(now, lease time.Duration, token uint64) bool {
	if g.Open && g.After >= token || g.Known > token {
		return false
	}
	g.Until = max(g.Until, now+lease)
	g.FromEarlier = false
	return true
}

// EarlierIsVoid takes in that nobody relies on what an earlier life may have promised: every
// other node, asked by this life, has answered that it does not hold the term. A promise of
// this life stands.
func (g *Giver) EarlierIsVoid(now time.Duration) {
	if g.FromEarlier {
		g.Until, g.FromEarlier = now, false
	}
}

// Cover is until when a holder may act.
type Cover struct {
	Holding bool // from when the term was taken until it was given up for good
	Until   time.Duration
}

// Valid tells whether the holder may act.
func (c *Cover) Valid(now time.Duration) bool { return c.Holding && now < c.Until }

// Renewed takes in a renewal that was sent at a moment and has succeeded: the lease has lived
// since, whatever happened meanwhile.
func (c *Cover) Renewed(sent, safe time.Duration) { c.Until = max(c.Until, sent+safe) }

// Promised takes in that all others have promised, when they were asked at a moment. Once
// uncovered, that does not count any more: another may have taken the term in between, and has
// promised nothing against itself.
func (c *Cover) Promised(now, sent, safe time.Duration) bool {
	if !c.Valid(now) {
		return false
	}
	c.Until = max(c.Until, sent+safe)
	return true
}

// ReliesOnNothing tells whether no promise that anybody gave earlier can help this node: it has
// given up every term that it held in this life. One that is only not covered at the moment may
// be again, by a renewal whose answer is late, and then by a promise.
func (c *Cover) ReliesOnNothing() bool { return !c.Holding }
