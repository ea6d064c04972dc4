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
	m := d.byID[id]
	if m == nil || !m.probing {
		return
	}
	m.probing = false
	if !d.isSuspect(m, now) {
		return // a heartbeat came meanwhile
	}
	if !answered {
		m.watermark = HeartbeatSeq{} // no heartbeat will come that it could wait for
		m.confirmDeath(ProbeFailed, now)
		return
	}
	m.suspected = false
	d.MarkReachable(id)
	if !d.isSilent(m, now) {
		m.advance(seq)
		m.probeNotBefore = now.Add(d.cfg.HoldTimeout / 2)
		return // alive, whatever the sign against it was
	}
	d.judgeSilentWorker(m, seq, now)
}

// judgeSilentWorker decides about a worker that answers with a counter, but whose heartbeats
// do not arrive.
func (d *Detector) judgeSilentWorker(m *machine, seq HeartbeatSeq, now time.Time) {
	// Each of our commands that arrived has raised the counter by one, this probe too. What
	// is beyond them are heartbeats that we have missed.
	expected := HeartbeatSeq{m.newestSeq.Session, m.newestSeq.Seq + m.commandsSince}
	heartbeatsMissed := m.synced && expected.Before(seq)
	m.advance(seq)
	switch {
	case heartbeatsMissed && !m.lagging:
		// The watermark is set once for a hold: raised by the answer to each probe, which the
		// probe itself has raised, the hold would never end.
		if !m.hasWatermark() {
			m.watermark = seq
			m.holdExpires = now.Add(d.cfg.HoldTimeout)
		}
		m.probeNotBefore = now.Add(d.cfg.HoldTimeout / 2)
	case m.lagging:
		m.confirmDeath(HeartbeatsLost, now)
	default:
		m.confirmDeath(NoHeartbeatMissed, now)
	}
}
