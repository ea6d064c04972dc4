package election

import (
	"sync"
	"time"

	"ospreyslip/internal/election/rules"
)

// promise is what a node has promised, for use by several goroutines. Times are by the
// keeper's clock.
type promise struct {
	mu    sync.Mutex
	giver rules.Giver
}

func (p *promise) left(now time.Duration, first bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver.Left(now, first)
}

func (p *promise) campaign(now time.Duration, first bool, after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver.Campaign(now, first, after)
}

func (p *promise) know(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giver.Know(token)
}

// highest returns the highest token known to have been given out.
func (p *promise) highest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver.Known
}

func (p *promise) settled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giver.Settled()
}

func (p *promise) give(now, lease time.Duration, token uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver.Give(now, lease, token)
}

// fromEarlier tells whether this node waits out what an earlier life may have promised.
func (p *promise) fromEarlier(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver.FromEarlier && p.giver.Until > now
}

func (p *promise) earlierIsVoid(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giver.EarlierIsVoid(now)
}
