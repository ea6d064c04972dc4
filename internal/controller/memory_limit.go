package controller

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// memoryLimit tells whether there is memory for more jobs. A process over its limit is
// killed, and all that it was doing with it; a job that is refused is submitted again.
type memoryLimit struct {
	limitBytes uint64
	inUseBytes func() uint64
	exceeded   atomic.Bool
}

// watch looks at what is held, in every period until the context ends.
func (g *memoryLimit) watch(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		g.exceeded.Store(g.inUseBytes() > g.limitBytes)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// hasRoom tells whether there was memory for more jobs when last looked at.
func (g *memoryLimit) hasRoom() bool { return !g.exceeded.Load() }

// memoryInUse is what the runtime has of the system and has not given back.
func memoryInUse() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}
