package rules

import "time"

// Grantor is what a node has granted to leaders, and the campaign of its own that a grant could
// conflict with. The zero value has granted nothing.
//
// Two invariants keep a leader that relies on a grant safe: while a grant binds, its grantor
// begins no campaign; and while a campaign could succeed against a leader, its node grants that
// leader nothing.
type Grantor struct {
	BoundUntil time.Duration // it begins no campaign before
	// FromEarlierIncarnation is that BoundUntil stands for what an earlier incarnation (run of
	// this node's process) may have granted, which nobody remembers.
	FromEarlierIncarnation bool
	// CampaignPending is that a campaign's transaction may yet be executed: its outcome is
	// unknown.
	CampaignPending bool
	CampaignBase    uint64 // the fencing token that the pending campaign succeeds
	HighestToken    uint64 // highest fencing token known to have been issued
}

// RestartedGrantor is a node that has just begun: its earlier incarnation may have granted a
// lease just before its end.
func RestartedGrantor(now, leaseDuration time.Duration) Grantor {
	return Grantor{BoundUntil: now + leaseDuration, FromEarlierIncarnation: true}
}

// CampaignDelay is how long this node must not begin a campaign. Exempt says that its own earlier
// incarnation holds the leadership, or that nobody ever held it: then no grant of an earlier
// incarnation can have kept another node in office, and none has to be waited out.
func (g *Grantor) CampaignDelay(now time.Duration, exempt bool) time.Duration {
	if g.FromEarlierIncarnation && exempt {
		return 0
	}
	return max(0, g.BoundUntil-now)
}

// BeginCampaign notes that the transaction of a campaign is about to be sent, which succeeds the
// leader with the fencing token base. It returns false if a grant forbids that.
func (g *Grantor) BeginCampaign(now time.Duration, exempt bool, base uint64) bool {
	if g.CampaignDelay(now, exempt) > 0 {
		return false
	}
	g.CampaignPending, g.CampaignBase = true, base
	return true
}

// CampaignSettled notes that the campaign's outcome is known.
func (g *Grantor) CampaignSettled() { g.CampaignPending = false }

// ObserveToken notes a fencing token that was issued.
func (g *Grantor) ObserveToken(token uint64) { g.HighestToken = max(g.HighestToken, token) }

// Grant promises the leader with a fencing token to begin no campaign for one lease duration
// from now. It returns false, and promises nothing, while a campaign of this node could still
// succeed against that leader (one that builds on an older token cannot, as the transaction's
// guards fail), and to a leader that has been succeeded.
func (g *Grantor) Grant(now, leaseDuration time.Duration, token uint64) bool {
	if g.CampaignPending && g.CampaignBase >= token || g.HighestToken > token {
		return false
	}
	g.BoundUntil = max(g.BoundUntil, now+leaseDuration)
	g.FromEarlierIncarnation = false
	return true
}

// VoidEarlierGrants notes that nobody relies on what an earlier incarnation may have granted:
// every peer, asked by this incarnation, has answered that it relies on no grant. A grant of this
// incarnation goes on to bind.
func (g *Grantor) VoidEarlierGrants(now time.Duration) {
	if g.FromEarlierIncarnation {
		g.BoundUntil, g.FromEarlierIncarnation = now, false
	}
}
