package liveness

import (
	"time"
)

// ProbeNotSent takes in that a probe failed for want of something at the caller: it says
// nothing of the machine, and is made again a little later.
func (d *Detector) ProbeNotSent(id string, now time.Time) {
	if m := d.byID[id]; m != nil && m.probing {
		m.probing = false
		m.probeNotBefore = now.Add(d.cfg.HoldTimeout / 4)
	}
}

// ProbeDone takes in the outcome of a probe that Tick asked for, and the counter in its answer,
// if there was one.
func (d *Detector) ProbeDone(id string, answered bool, seq HeartbeatSeq, now time.Time) {
	target := d.byID[id]
	if target == nil || !target.probing {
		return
	}
	target.probing = false
	if !d.isSuspect(target, now) {
		return // a heartbeat came meanwhile
	}
	if !answered {
		target.watermark = HeartbeatSeq{} // no heartbeat will come that it could wait for
		target.confirmDeath(ProbeFailed, now)
		return
	}
	target.suspected = false
	d.MarkReachable(id)
	if !d.isSilent(target, now) {
		target.advance(seq)
		target.probeNotBefore = now.Add(d.cfg.HoldTimeout / 2)
		return // alive, whatever the sign against it was
	}
	d.judgeSilentWorker(target, seq, now)
}

// judgeSilentWorker decides about a worker that answers with a counter, but whose heartbeats
// do not arrive.
func (d *Detector) judgeSilentWorker(target *machine, seq HeartbeatSeq, now time.Time) {
	// Each of our commands that arrived has raised the counter by one, this probe too. What
	// is beyond them are heartbeats that we have missed.
	expected := HeartbeatSeq{target.newestSeq.Session, target.newestSeq.Seq + target.commandsSince}
	heartbeatsMissed := target.synced && expected.Before(seq)
	target.advance(seq)
	switch {
	case heartbeatsMissed && !target.lagging:
		// The watermark is set once for a hold: raised by the answer to each probe, which the
		// probe itself has raised, the hold would never end.
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
