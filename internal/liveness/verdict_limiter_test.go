package liveness

import (
	"fmt"
	"testing"
	"time"
)

// Changing the rate of an exhausted limiter must not make a burst available.
func TestSetRateAddsNoBurst(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limiter := newVerdictLimiter(1, time.Second)
	if !limiter.allow(now) || limiter.allow(now) {
		t.Fatal("a new limiter must allow exactly one verdict")
	}
	limiter.setRate(1, 2*time.Second, now)
	if limiter.allow(now) {
		t.Error("exhausted limiter allows a verdict right after a change of rate")
	}
	now = now.Add(2 * time.Second)
	limiter.setRate(1, time.Second, now)
	if !limiter.allow(now) || limiter.allow(now) {
		t.Error("limiter with a token left must allow exactly one verdict after a change of rate")
	}
	limiter.setRate(1, 0, now)
	if limiter.allow(now.Add(time.Hour)) {
		t.Error("limiter that an interval of zero has stopped allows a verdict")
	}
}

// A large zone must not be judged dead faster, as a fraction of its machines, than a small one.
func TestVerdictRateFollowsZoneSize(t *testing.T) {
	for _, size := range []int{10, 100, 700} {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		detector := New(Config{SuspectAfter: 3 * time.Second, LeaseExpiry: 10 * time.Second, HoldTimeout: 4 * time.Second, VerdictInterval: time.Second, MachinesPerVerdict: 10})
		for i := range size {
			detector.Heartbeat(fmt.Sprint("m-", i), "a", HeartbeatSeq{1, 1}, now)
		}
		totalVerdicts, maxVerdicts := 0, 0
		for step := range 60 {
			at := now.Add(4*time.Second + time.Duration(step)*100*time.Millisecond)
			detector.Heartbeat("m-b", "b", HeartbeatSeq{1, uint64(step + 1)}, at)
			probes, verdicts := detector.Tick(at, 2*size)
			for _, id := range probes {
				detector.ProbeDone(id, false, HeartbeatSeq{}, at)
			}
			totalVerdicts += len(verdicts)
			maxVerdicts = max(maxVerdicts, len(verdicts))
		}
		if share := float64(totalVerdicts) / float64(size); share < 0.5 || share > 0.7 {
			t.Errorf("%d machines: %d verdicts in six seconds", size, totalVerdicts)
		}
		if maxVerdicts > size/20+1 {
			t.Errorf("%d machines: %d verdicts in one tick", size, maxVerdicts)
		}
	}
}
