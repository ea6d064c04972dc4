package liveness

import (
	"time"
)

// ProbeNotSent records that the caller could not send a probe for lack of a local resource. This
// says nothing about the machine, which is probed again a little later.
func (d *Detector) ProbeNotSent(id string, now time.Time) {
	if m := d.byID[id]; m != nil && m.probing {
		m.probing = false
		m.probeNotBefore = now.Add(d.cfg.HoldTimeout / 4)
	}
}

// ProbeDone records the outcome of a probe requested by Tick, and the sequence in its response
// if there was one.
func (d *Detector) ProbeDone(id string, answered bool, seq HeartbeatSeq, now time.Time) {
	target := d.byID[id]
	if target == nil || !target.probing {
		return
	}
	target.probing = false
	if !d.isSuspect(target, now) {
		return // a heartbeat has arrived in the meantime
	}
	if !answered {
		target.watermark = HeartbeatSeq{} // no heartbeat will arrive to reach it
		target.confirmDeath(ProbeFailed, now)
		return
	}
	target.suspected = false
	d.MarkReachable(id)
	if !d.isSilent(target, now) {
		target.advance(seq)
		target.probeNotBefore = now.Add(d.cfg.HoldTimeout / 2)
		return // alive, whatever the reason for the suspicion
	}
	d.judgeSilentWorker(target, seq, now)
}

// judgeSilentWorker handles the response of a worker whose heartbeats do not arrive: it either
// sets a watermark or confirms the death.
func (d *Detector) judgeSilentWorker(target *machine, seq HeartbeatSeq, now time.Time) {
	// Every command that arrived, this probe included, has incremented the counter by one.
	// Any further increments come from heartbeats that were sent but not received.
	expected := HeartbeatSeq{target.newestSeq.AgentEpoch, target.newestSeq.Seq + target.commandsSinceNewestSeq}
	heartbeatsMissed := target.synced && expected.Before(seq)
	target.advance(seq)
	switch {
	case heartbeatsMissed && !target.lagging:
		// The watermark is not raised during a hold. Each probe increments the counter in its own
		// response, so raising it with every response would extend the hold forever.
		if !target.hasWatermark() {
			target.watermark = seq
			target.holdExpires = now.Add(d.cfg.HoldTimeout)
		}
		target.probeNotBefore = now.Add(d.cfg.HoldTimeout / 2)
	case target.lagging:
		target.confirmDeath(HeartbeatsLost, now)
	default:
		target.confirmDeath(NoHeartbeatMissed, now)
	}
}
