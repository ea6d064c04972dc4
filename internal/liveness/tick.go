package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Reason is why a machine was judged dead.
type Reason string

// Reasons of verdicts. Operators rely on their texts.
const (
	// ProbeFailed means that the worker did not respond to the probe.
	ProbeFailed Reason = "call failed"
	// NoHeartbeatMissed means that the worker responds, but that its counter shows no heartbeat
	// sent since the last one received.
	NoHeartbeatMissed Reason = "no report missed"
	// HeartbeatsLost means that the worker responds and sends heartbeats, but that none arrived
	// before its hold expired.
	HeartbeatsLost Reason = "reports stay away"
)

// Verdict is the decision that a machine is dead.
type Verdict struct {
	Machine string
	Reason  Reason
}

// Tick returns the machines to probe now, at most maxProbes, and the verdicts to carry out, both
// in descending order of importance. The caller must follow each probe with a call of ProbeDone or
// ProbeNotSent.
func (d *Detector) Tick(now time.Time, maxProbes int) (probes []string, verdicts []Verdict) {
	d.detectDisruption(now)
	onHold := d.expireHolds(now)
	suspects := d.suspects(now)
	d.sortByImportance(suspects)
	for _, id := range suspects {
		suspect := d.byID[id]
		switch {
		case suspect.deathReason != "":
			if !onHold && d.allowVerdict(suspect, now) {
				suspect.dead = true
				verdicts = append(verdicts, Verdict{id, suspect.deathReason})
			}
		case len(probes) < maxProbes && !now.Before(suspect.probeNotBefore):
			suspect.probing = true
			suspect.commandsSinceNewestSeq++
			probes = append(probes, id)
		}
	}
	return probes, verdicts
}

// expireHolds removes the watermarks whose hold has expired, and reports whether another one still
// holds verdicts.
func (d *Detector) expireHolds(now time.Time) (onHold bool) {
	for _, member := range d.machines {
		switch {
		case !member.hasWatermark():
		case now.Before(member.holdExpires):
			onHold = true
		default:
			// The heartbeat had enough time to arrive, so its delay says nothing about other
			// machines.
			member.watermark, member.lagging = HeartbeatSeq{}, true
		}
	}
	return onHold
}

// VerdictsOnHold reports whether a watermark holds all verdicts.
func (d *Detector) VerdictsOnHold(now time.Time) bool {
	return slices.ContainsFunc(d.machines, func(m *machine) bool {
		return m.hasWatermark() && now.Before(m.holdExpires)
	})
}

// suspects returns the ids of the machines to probe or judge.
func (d *Detector) suspects(now time.Time) (ids []string) {
	for _, member := range d.machines {
		member.suspected = member.suspected || d.missedHeartbeat(member, now)
		if !member.dead && !member.probing && d.isSuspect(member, now) {
			ids = append(ids, member.id)
		}
	}
	return ids
}

// sortByImportance sorts ids by descending importance, and equally important ones by id.
func (d *Detector) sortByImportance(ids []string) {
	importance := make(map[string]int, len(ids))
	for _, id := range ids {
		if d.cfg.Importance != nil {
			importance[id] = d.cfg.Importance(id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(importance[b], importance[a]), cmp.Compare(a, b))
	})
}

// allowVerdict reports whether a verdict on a machine may be given now, and if so consumes one
// token of its zone's rate limit.
//
// A leader that has just lost its connection sees machines fall silent one by one before all of
// them are silent. A heartbeat of any machine must therefore follow the confirmation, as proof
// that this leader still receives heartbeats.
func (d *Detector) allowVerdict(suspect *machine, now time.Time) bool {
	return !d.fullDisruption && d.lastHeartbeat.After(suspect.confirmedAt) && d.limiterOf(suspect.zone, now).allow(now)
}
