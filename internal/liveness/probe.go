package liveness

import (
	"time"
)

// ProbeNotSent takes in that a call failed for the caller's own want of something: it says
// nothing of the machine. It is made again a little later.
func (w *Detector) ProbeNotSent(id string, now time.Time) {
	if m := w.byID[id]; m != nil && m.probing {
		m.probing = false
		m.probeNotBefore = now.Add(w.cfg.HoldTimeout / 4)
	}
}

// ProbeDone takes in the outcome of a call that Tick asked for.
func (w *Detector) ProbeDone(id string, answered bool, seq HeartbeatSeq, now time.Time) {
	target := w.byID[id]
	if target == nil || !target.probing {
		return
	}
	target.probing = false
	if !w.needsProbe(target, now) {
		return // it reported meanwhile
	}
	if !answered {
		target.watermark = HeartbeatSeq{}
		target.deathReason, target.confirmedAt = ProbeFailed, now
		return
	}
	target.suspected = false
	w.MarkReachable(id)
	if !w.isSilent(target, now) {
		if target.newestSeq.Before(seq) {
			target.newestSeq, target.commandsSince = seq, 0
		}
		target.probeNotBefore = now.Add(w.cfg.HoldTimeout / 2)
		return // alive, whatever the signs were
	}
	// Each call of ours that arrived raised the counter by one, this one too.
	// What is beyond them are reports that we have missed: our picture lags,
	// and it may lag for every machine.
	expected := HeartbeatSeq{target.newestSeq.Session, target.newestSeq.Seq + target.commandsSince}
	ahead := target.synced && expected.Before(seq)
	// The answer is a newer picture, so that our next calls are counted from
	// it. The floor is the last report before it, set once for a hold: were it
	// raised by our own calls, the hold would feed itself.
	if target.newestSeq.Before(seq) {
		target.newestSeq, target.commandsSince = seq, 0
	}
	switch {
	case ahead && !target.lagging:
		if target.watermark == (HeartbeatSeq{}) {
			target.watermark = seq
			target.holdExpires = now.Add(w.cfg.HoldTimeout)
		}
		target.probeNotBefore = now.Add(w.cfg.HoldTimeout / 2)
	case target.lagging:
		target.deathReason, target.confirmedAt = HeartbeatsLost, now
	default:
		target.deathReason, target.confirmedAt = NoHeartbeatMissed, now
	}
}
