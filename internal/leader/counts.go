package leader

import (
	"sync"

	"ospreyslip/internal/jobs"
)

// Counts hands the leader's display counts to the users' side.
type Counts struct {
	mu sync.RWMutex
	m  map[string]jobs.Counts
}

// NewCounts makes an empty table.
func NewCounts() *Counts { return &Counts{m: map[string]jobs.Counts{}} }

// Get returns a job's counts.
func (c *Counts) Get(id string) (jobs.Counts, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v, ok := c.m[id]
	return v, ok
}

// Set shows a job's counts.
func (c *Counts) Set(id string, v jobs.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[id] = v
}

// Drop forgets a job.
func (c *Counts) Drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.m, id)
}

// Replace takes in the counts that a leader has published.
func (c *Counts) Replace(machine map[string]jobs.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m = machine
}

// nonZero returns the counts that say more than that nothing has happened.
func (c *Counts) nonZero() map[string]jobs.Counts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]jobs.Counts, len(c.m))
	for id, v := range c.m {
		if v != (jobs.Counts{}) {
			out[id] = v
		}
	}
	return out
}

func (c *Counts) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.m)
}
