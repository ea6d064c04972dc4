package election

import (
	"sync"
	"time"

	"ospreyslip/internal/election/rules"
)

// lockedValidity is until when this node may act as the holder, for use by several goroutines.
type lockedValidity struct {
	mu       sync.RWMutex
	validity rules.LeaseValidity
}

func (c *lockedValidity) valid(now time.Duration) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.validity.Valid(now)
}

// remaining is how long the cover lasts.
func (c *lockedValidity) remaining(now time.Duration) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.validity.Until - now
}

func (c *lockedValidity) reliesOnNoGrant() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.validity.ReliesOnNoGrant()
}

// begin takes in that the term was taken by a request that was sent at a moment.
func (c *lockedValidity) begin(sent, safe time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity = rules.LeaseValidity{Held: true}
	c.validity.ExtendByRenewal(sent, safe)
}

// end gives the term up for good.
func (c *lockedValidity) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity = rules.LeaseValidity{}
}

func (c *lockedValidity) extendByRenewal(sent, safe time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity.ExtendByRenewal(sent, safe)
}

func (c *lockedValidity) extendByGrants(now, sent, safe time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validity.ExtendByGrants(now, sent, safe)
}
