package election

import (
	"sync"
	"time"

	"ospreyslip/internal/election/rules"
)

// The types in this file add a mutex to the types of package rules and make no decisions. Each
// method calls the method of the same name there, or reads fields. Times are on the elector's
// clock.

// lockedGrantor is a rules.Grantor that is safe for concurrent use: peers request leases while Run
// campaigns. The mutex orders the decisions on a campaign and on a grant, because each excludes
// the other.
type lockedGrantor struct {
	mu      sync.Mutex
	grantor rules.Grantor
}

func (g *lockedGrantor) campaignDelay(now time.Duration, ignoreEarlierGrants bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.CampaignDelay(now, ignoreEarlierGrants)
}

func (g *lockedGrantor) startCampaign(now time.Duration, ignoreEarlierGrants bool, baseToken uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.StartCampaign(now, ignoreEarlierGrants, baseToken)
}

func (g *lockedGrantor) endCampaign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantor.EndCampaign()
}

func (g *lockedGrantor) observeToken(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantor.ObserveToken(token)
}

// highestToken returns the highest fencing token that is known to have been issued.
func (g *lockedGrantor) highestToken() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.HighestToken
}

func (g *lockedGrantor) grant(now, leaseDuration time.Duration, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.Grant(now, leaseDuration, token)
}

// boundByEarlierIncarnation reports whether this controller is waiting for leases to expire that
// an earlier incarnation may have granted.
func (g *lockedGrantor) boundByEarlierIncarnation(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.BoundByEarlierIncarnation && g.grantor.BoundUntil > now
}

func (g *lockedGrantor) voidEarlierGrants(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantor.VoidEarlierGrants(now)
}

// lockedValidity is a rules.LeaseValidity that is safe for concurrent use: many goroutines ask
// whether this controller leads while Run renews the lease.
type lockedValidity struct {
	mu       sync.RWMutex
	validity rules.LeaseValidity
}

func (v *lockedValidity) valid(now time.Duration) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.validity.Valid(now)
}

// remaining returns how long the validity lasts unless it is extended.
func (v *lockedValidity) remaining(now time.Duration) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.validity.ValidUntil - now
}

func (v *lockedValidity) reliesOnNoGrant() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.validity.ReliesOnNoGrant()
}

// start starts a term whose lease was requested at the given time.
func (v *lockedValidity) start(requestedAt, validFor time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.validity = rules.LeaseValidity{HoldsTerm: true}
	v.validity.ExtendByRenewal(requestedAt, validFor)
}

// end ends the term. A late renewal or grant cannot restore it.
func (v *lockedValidity) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.validity = rules.LeaseValidity{}
}

func (v *lockedValidity) extendByRenewal(sentAt, validFor time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.validity.ExtendByRenewal(sentAt, validFor)
}

func (v *lockedValidity) extendByGrants(now, requestedAt, validFor time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.validity.ExtendByGrants(now, requestedAt, validFor)
}
