package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Reason says why a machine was judged dead.
type Reason string

// The reasons of verdicts. Operators know them by these texts.
const (
	// ProbeFailed: the worker did not answer.
	ProbeFailed Reason = "call failed"
	// NoHeartbeatMissed: the worker answers, but its counter shows that it has sent no
	// heartbeat since the last that arrived.
	NoHeartbeatMissed Reason = "no report missed"
	// HeartbeatsLost: the worker answers and sends heartbeats, which have not arrived within a
	// hold.
	HeartbeatsLost Reason = "reports stay away"
)

// Verdict is a machine's confirmed death.
type Verdict struct {
	Machine string
	Reason  Reason
}

// Tick returns the machines to probe now, maxProbes at most, and the verdicts to carry out,
// those first on which most depends. Each probe must be followed by a call of ProbeDone or
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
			if !onHold && d.takeVerdictTurn(suspect, now) {
				suspect.dead = true
				verdicts = append(verdicts, Verdict{id, suspect.deathReason})
			}
		case len(probes) < maxProbes && !now.Before(suspect.probeNotBefore):
			suspect.probing = true
			suspect.commandsSince++
			probes = append(probes, id)
		}
	}
	return probes, verdicts
}

// expireHolds ends the holds that have lasted for long enough, and tells whether another one
// is left.
func (d *Detector) expireHolds(now time.Time) (onHold bool) {
	for _, member := range d.machines {
		switch {
		case !member.hasWatermark():
		case now.Before(member.holdExpires):
			onHold = true
		default:
			// The heartbeat has had time enough: that it lags says nothing about other
			// machines.
			member.watermark, member.lagging = HeartbeatSeq{}, true
		}
	}
	return onHold
}

// VerdictsOnHold tells whether a watermark holds all verdicts.
func (d *Detector) VerdictsOnHold(now time.Time) bool {
	return slices.ContainsFunc(d.machines, func(m *machine) bool {
		return m.hasWatermark() && now.Before(m.holdExpires)
	})
}

// suspects returns the machines that are to be probed or judged.
func (d *Detector) suspects(now time.Time) (ids []string) {
	for _, member := range d.machines {
		member.suspected = member.suspected || d.missedHeartbeat(member, now)
		if !member.dead && !member.probing && d.isSuspect(member, now) {
			ids = append(ids, member.id)
		}
	}
	return ids
}

// sortByImportance puts the machines on which most depends first, equal ones by their ids.
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

// takeVerdictTurn tells whether a verdict on a machine may be given now, and uses up a turn of
// its zone's rate limit if so.
//
// A leader that has just lost its connection finds machine after machine silent before it finds
// all of them silent. So a heartbeat of any machine has to follow the confirmation, as a proof
// that this leader still receives some.
func (d *Detector) takeVerdictTurn(suspect *machine, now time.Time) bool {
	return !d.fullDisruption && d.lastHeartbeat.After(suspect.confirmedAt) && d.limiterOf(suspect.zone, now).allow(now)
}
