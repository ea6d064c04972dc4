package rules

import "time"

// Grantor is what a node has promised others, and the campaign of its own that stands against it.
type Grantor struct {
	BoundUntil             time.Duration // takes no term before this
	FromEarlierIncarnation bool          // it stands for what an earlier life may have promised
	CampaignPending        bool          // the outcome of a campaign is unknown
	CampaignBase           uint64        // the token that this campaign builds on
	HighestToken           uint64        // highest token known to have been given out
}

// RestartedGrantor is a node that has just begun: its earlier life may have promised something just
// before its end, for as long as one lease.
func RestartedGrantor(now, lease time.Duration) Grantor {
	return Grantor{BoundUntil: now + lease, FromEarlierIncarnation: true}
}

// CampaignDelay is how long this node must not campaign. A node whose own earlier life holds the term,
// or that finds no term ever taken, need not wait out what that life may have promised: it
// cannot have kept another in office.
func (g *Grantor) CampaignDelay(now time.Duration, first bool) time.Duration {
	if g.FromEarlierIncarnation && first {
		return 0
	}
	return max(0, g.BoundUntil-now)
}

// BeginCampaign notes that a transaction that takes the term is about to be sent; it returns false
// if a promise forbids that.
func (g *Grantor) BeginCampaign(now time.Duration, first bool, after uint64) bool {
	if g.CampaignDelay(now, first) > 0 {
		return false
	}
	g.CampaignPending, g.CampaignBase = true, after
	return true
}

// CampaignSettled notes that the campaign's outcome is known.
func (g *Grantor) CampaignSettled() { g.CampaignPending = false }

// ObserveToken notes a token that was given out.
func (g *Grantor) ObserveToken(token uint64) { g.HighestToken = max(g.HighestToken, token) }

// Grant promises not to take the term for the time of one lease. It is refused while a campaign
// that could still succeed against this holder is on its way (one that builds on an older token
// cannot), and to a holder that has been succeeded.
func (g *Grantor) Grant(now, lease time.Duration, token uint64) bool {
	if g.CampaignPending && g.CampaignBase >= token || g.HighestToken > token {
		return false
	}
	g.BoundUntil = max(g.BoundUntil, now+lease)
	g.FromEarlierIncarnation = false
	return true
}

// VoidEarlierGrants takes in that nobody relies on what an earlier life may have promised: every
// other node, asked by this life, has answered that it does not hold the term. A promise of
// this life stands.
func (g *Grantor) VoidEarlierGrants(now time.Duration) {
	if g.FromEarlierIncarnation {
		g.BoundUntil, g.FromEarlierIncarnation = now, false
	}
}
