package leader

import (
	"sync"

	"ospreyslip/internal/jobs"
)

// Counts holds the task counts of each job that users are shown. It is safe for concurrent use.
type Counts struct {
	mu    sync.RWMutex
	byJob map[string]jobs.TaskCounts
}

// NewCounts returns an empty Counts.
func NewCounts() *Counts { return &Counts{byJob: map[string]jobs.TaskCounts{}} }

// Get returns a job's counts and reports whether there are any.
func (c *Counts) Get(id string) (jobs.TaskCounts, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v, ok := c.byJob[id]
	return v, ok
}

// Set stores a job's counts.
func (c *Counts) Set(id string, v jobs.TaskCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byJob[id] = v
}

// Drop removes a job's counts.
func (c *Counts) Drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byJob, id)
}

// Replace replaces all counts with those that a leader has broadcast. It takes ownership of the map.
func (c *Counts) Replace(counts map[string]jobs.TaskCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byJob = counts
}

// nonZero returns the counts of all jobs whose counts are not zero.
func (c *Counts) nonZero() map[string]jobs.TaskCounts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]jobs.TaskCounts, len(c.byJob))
	for id, v := range c.byJob {
		if v != (jobs.TaskCounts{}) {
			out[id] = v
		}
	}
	return out
}

func (c *Counts) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.byJob)
}
