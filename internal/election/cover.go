package election

import (
	"sync"
	"time"

	"ospreyslip/internal/election/rules"
)

// cover is until when this node may act as the holder, for use by several goroutines.
type cover struct {
	mu    sync.RWMutex
	cover rules.Cover
}

func (c *cover) valid(now time.Duration) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cover.Valid(now)
}

// left is how long the cover lasts.
func (c *cover) left(now time.Duration) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cover.Until - now
}

func (c *cover) reliesOnNothing() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cover.ReliesOnNothing()
}

// begin takes in that the term was taken by a request that was sent at a moment.
func (c *cover) begin(sent, safe time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cover = rules.Cover{Holding: true}
	c.cover.Renewed(sent, safe)
}

// end gives the term up for good.
func (c *cover) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cover = rules.Cover{}
}

func (c *cover) renewed(sent, safe time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cover.Renewed(sent, safe)
}

func (c *cover) promised(now, sent, safe time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cover.Promised(now, sent, safe)
}
