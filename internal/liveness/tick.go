package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Tick returns the machines to call now, as many as may be, and the verdicts to
// carry out.
func (w *Detector) Tick(now time.Time, maxProbes int) (probes []string, verdicts []Verdict) {
	if !w.fullDisruption && (w.areAllSilent(now) || w.isGroupSilent(len(w.machines), w.lastHeartbeat, now)) {
		w.fullDisruption = true
		w.setRateOfAllZones(1, 0, now)
	}
	for _, group := range w.zones {
		if group.silentSince.IsZero() && w.isGroupSilent(group.machineCount, group.lastHeartbeat, now) {
			group.silentSince = now
		}
	}
	held := false
	var ids []string
	for _, member := range w.machines {
		member.suspected = member.suspected || w.missedHeartbeat(member, now)
		if !member.dead && !member.probing && w.needsProbe(member, now) {
			ids = append(ids, member.id)
		}
		if member.watermark == (HeartbeatSeq{}) {
			continue
		}
		if now.Before(member.holdExpires) {
			held = true
			continue
		}
		// The grace is over and the report never came: this machine's lag says
		// nothing about the others, and it may not hold them up again.
		member.watermark, member.lagging = HeartbeatSeq{}, true
	}
	w.sortByImportance(ids)
	for _, id := range ids {
		member := w.byID[id]
		if member.deathReason == "" {
			if now.Before(member.probeNotBefore) || len(probes) >= maxProbes {
				continue
			}
			member.probing = true
			member.commandsSince++
			probes = append(probes, id)
			continue
		}
		// A leader that has just lost its connection finds machine after machine
		// silent before it finds all of them so. A report that comes after the
		// confirmation shows that it still hears anything at all.
		if held || w.fullDisruption || !w.lastHeartbeat.After(member.confirmedAt) || !w.limiterOf(member.zone, now).allow(now) {
			continue
		}
		member.dead = true
		verdicts = append(verdicts, Verdict{id, member.deathReason})
	}
	return probes, verdicts
}

// sortByImportance puts the machines on which most depends first.
func (w *Detector) sortByImportance(ids []string) {
	weights := make(map[string]int, len(ids))
	for _, id := range ids {
		if w.cfg.Importance != nil {
			weights[id] = w.cfg.Importance(id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

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

// limiterOf returns a zone's pacer. The share of a zone that may be given up in a
// given time is much the same, however large it is.
func (w *Detector) limiterOf(z *zone, now time.Time) *verdictLimiter {
	verdicts := max(1, z.machineCount/max(1, w.cfg.MachinesPerVerdict))
	if z.limiter == nil {
		z.limiter = newVerdictLimiter(verdicts, w.cfg.VerdictInterval)
	}
	z.limiter.setRate(verdicts, w.cfg.VerdictInterval, now)
	return z.limiter
}

// setRateOfAllZones changes the pace of all zones that have had a verdict.
func (w *Detector) setRateOfAllZones(verdicts int, interval time.Duration, now time.Time) {
	for _, z := range w.zones {
		if z.limiter != nil {
			z.limiter.setRate(verdicts, interval, now)
		}
	}
}

// areAllSilent tells whether every machine of every zone looks dead.
func (w *Detector) areAllSilent(now time.Time) bool {
	if len(w.machines) == 0 {
		return false
	}
	for _, m := range w.machines {
		if !w.isSilent(m, now) {
			return false
		}
	}
	return true
}

// endDisruption starts afresh: what was silent for lack of any connection
// must not look dead at once.
func (w *Detector) endDisruption(now time.Time) {
	w.fullDisruption = false
	for _, z := range w.zones {
		if !z.lastHeartbeat.IsZero() { // nothing was ever heard of the others
			z.lastHeartbeat = now
		}
	}
	for _, member := range w.machines {
		member.lastHeartbeat, member.deathReason, member.suspected = now, "", false
	}
	w.setRateOfAllZones(1, w.cfg.VerdictInterval, now) // and to the pace of its size with the next verdict
}
