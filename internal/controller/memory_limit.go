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
	exceeded   atomic.Bool // as last measured
}

// watch measures the memory in use, now and in every period until the context ends.
func (m *memoryLimit) watch(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		m.exceeded.Store(m.inUseBytes() > m.limitBytes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasRoom tells whether there was memory for more jobs when it was last measured. It may be
// called from any goroutine.
func (m *memoryLimit) hasRoom() bool { return !m.exceeded.Load() }

// memoryInUse is what the Go runtime has from the system and has not given back, in bytes.
func memoryInUse() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}
