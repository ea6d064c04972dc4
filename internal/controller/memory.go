package controller

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// memoryGauge tells whether there is memory for more jobs. A process over its limit is
// killed, and all that it was doing with it; a job that is refused is submitted again.
type memoryGauge struct {
	most  uint64
	held  func() uint64
	short atomic.Bool
}

// watch looks at what is held, in every period until the context ends.
func (g *memoryGauge) watch(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		g.short.Store(g.held() > g.most)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// room tells whether there was memory for more jobs when last looked at.
func (g *memoryGauge) room() bool { return !g.short.Load() }

// heldBytes is what the runtime has of the system and has not given back.
func heldBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}
