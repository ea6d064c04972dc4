package election

import (
	"sync"
	"time"

	"ospreyslip/internal/election/rules"
)

// lockedGrantor is what a node has promised, for use by several goroutines. Times are by the
// keeper's clock.
type lockedGrantor struct {
	mu      sync.Mutex
	grantor rules.Grantor
}

func (p *lockedGrantor) campaignDelay(now time.Duration, first bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.CampaignDelay(now, first)
}

func (p *lockedGrantor) beginCampaign(now time.Duration, first bool, after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.BeginCampaign(now, first, after)
}

func (p *lockedGrantor) observeToken(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantor.ObserveToken(token)
}

// highestToken returns the highest token known to have been given out.
func (p *lockedGrantor) highestToken() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.HighestToken
}

func (p *lockedGrantor) campaignSettled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantor.CampaignSettled()
}

func (p *lockedGrantor) grant(now, lease time.Duration, token uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.Grant(now, lease, token)
}

// boundByEarlierIncarnation tells whether this node waits out what an earlier life may have promised.
func (p *lockedGrantor) boundByEarlierIncarnation(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.FromEarlierIncarnation && p.grantor.BoundUntil > now
}

func (p *lockedGrantor) voidEarlierGrants(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantor.VoidEarlierGrants(now)
}
