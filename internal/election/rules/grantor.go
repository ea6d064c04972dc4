package rules

import "time"

// Grantor tracks the leases that a controller has granted to leaders, and its own campaign, with
// which a grant may conflict. The zero value has granted nothing.
//
// Two invariants protect a leader that relies on a grant. While a grant binds, its grantor starts
// no campaign. While a campaign could succeed against a leader, its controller grants that leader
// nothing.
type Grantor struct {
	BoundUntil time.Duration // no campaign may start before this time
	// BoundByEarlierIncarnation is set while BoundUntil covers leases that an earlier incarnation
	// may have granted, of which there is no record.
	BoundByEarlierIncarnation bool
	// CampaignPending is set while a campaign's transaction may still be executed, because its
	// outcome is unknown.
	CampaignPending   bool
	CampaignBaseToken uint64 // fencing token that the pending campaign succeeds
	HighestToken      uint64 // highest fencing token known to have been issued
}

// NewRestartedGrantor returns the Grantor of a controller that has just started. Its earlier
// incarnation may have granted a lease immediately before it ended, so campaigns are forbidden for
// one lease duration.
func NewRestartedGrantor(now, leaseDuration time.Duration) Grantor {
	return Grantor{BoundUntil: now + leaseDuration, BoundByEarlierIncarnation: true}
}

// CampaignDelay returns how long this controller must not start a campaign. ignoreEarlierGrants is
// set if an earlier incarnation of this controller holds the leadership, or if no controller ever
// held it. Then no grant of an earlier incarnation can have extended the term of another
// controller, so none delays the campaign.
func (g *Grantor) CampaignDelay(now time.Duration, ignoreEarlierGrants bool) time.Duration {
	if g.BoundByEarlierIncarnation && ignoreEarlierGrants {
		return 0
	}
	return max(0, g.BoundUntil-now)
}

// StartCampaign records that the transaction of a campaign is about to be sent. baseToken is the
// fencing token of the leader that the campaign would succeed. StartCampaign returns false, and
// records nothing, if a grant forbids the campaign.
func (g *Grantor) StartCampaign(now time.Duration, ignoreEarlierGrants bool, baseToken uint64) bool {
	if g.CampaignDelay(now, ignoreEarlierGrants) > 0 {
		return false
	}
	g.CampaignPending, g.CampaignBaseToken = true, baseToken
	return true
}

// EndCampaign records that the outcome of the campaign is known.
func (g *Grantor) EndCampaign() { g.CampaignPending = false }

// ObserveToken records a fencing token that was issued.
func (g *Grantor) ObserveToken(token uint64) { g.HighestToken = max(g.HighestToken, token) }

// Grant promises the leader with the given fencing token to start no campaign for one lease
// duration from now. It returns false, and promises nothing, to a leader that has been succeeded,
// and while a campaign of this controller could still succeed against the leader. A campaign that
// builds on an older token cannot succeed, because the guards of its transaction fail.
func (g *Grantor) Grant(now, leaseDuration time.Duration, token uint64) bool {
	if g.CampaignPending && g.CampaignBaseToken >= token || g.HighestToken > token {
		return false
	}
	g.BoundUntil = max(g.BoundUntil, now+leaseDuration)
	g.BoundByEarlierIncarnation = false
	return true
}

// VoidEarlierGrants records that no controller relies on leases that an earlier incarnation may
// have granted: every peer, asked by this incarnation, has responded that it relies on no grant.
// Grants of this incarnation still bind.
func (g *Grantor) VoidEarlierGrants(now time.Duration) {
	if g.BoundByEarlierIncarnation {
		g.BoundUntil, g.BoundByEarlierIncarnation = now, false
	}
}
