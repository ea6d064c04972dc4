package controller

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// memoryLimit decides whether there is memory for more jobs. Rejecting a job is the lesser harm:
// its user submits it again, whereas a process that exceeds its memory limit is killed and loses
// all its work.
type memoryLimit struct {
	limitBytes uint64
	inUseBytes func() uint64
	exceeded   atomic.Bool // as of the last measurement
}

// watch measures the memory in use immediately and once per period until the context ends.
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

// hasRoom reports whether there was memory for more jobs at the last measurement. It may be
// called from any goroutine.
func (m *memoryLimit) hasRoom() bool { return !m.exceeded.Load() }

// memoryInUse returns the memory, in bytes, that the Go runtime has obtained from the operating
// system and has not returned.
func memoryInUse() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}
