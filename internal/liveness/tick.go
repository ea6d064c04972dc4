package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Reason says why a machine was judged dead.
type Reason string

// The reasons of verdicts.
const (
	ProbeFailed       Reason = "call failed"
	NoHeartbeatMissed Reason = "no report missed"
	HeartbeatsLost    Reason = "reports stay away"
)

// Verdict is a confirmed death.
type Verdict struct {
	Machine string
	Reason  Reason
}

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
