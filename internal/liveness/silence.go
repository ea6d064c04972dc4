package liveness

import (
	"time"
)

// Schedulable tells whether work may go to a machine: it has reported to this
// leader and is neither silent, dead nor lagging.
func (w *Detector) Schedulable(id string, now time.Time) bool {
	m := w.byID[id]
	return m != nil && m.synced && !m.dead && !m.lagging && m.deathReason == "" && !w.needsProbe(m, now)
}

// VerdictsOnHold tells whether a floor holds all verdicts.
func (w *Detector) VerdictsOnHold(now time.Time) bool {
	for _, m := range w.machines {
		if m.watermark != (HeartbeatSeq{}) && now.Before(m.holdExpires) {
			return true
		}
	}
	return false
}

func (w *Detector) isSilent(m *machine, now time.Time) bool {
	limit := w.cfg.SuspectAfter
	if !m.synced {
		limit = w.cfg.LeaseExpiry
	}
	return now.Sub(m.lastHeartbeat) > limit
}

// needsProbe tells whether a machine is to be called.
func (w *Detector) needsProbe(m *machine, now time.Time) bool {
	return m.suspected || m.unreachable || w.isSilent(m, now)
}

// minGroupSize is how many machines a zone needs for its silence to say more than
// that of each: the periods of a few may fall together.
const minGroupSize = 4

// isGroupSilent tells whether so many machines have been unheard for so long that what
// lies between them and us, or all of them, must be gone.
func (w *Detector) isGroupSilent(size int, lastHeartbeat, now time.Time) bool {
	return w.cfg.GroupSuspectAfter > 0 && size >= minGroupSize && !lastHeartbeat.IsZero() && now.Sub(lastHeartbeat) > w.cfg.GroupSuspectAfter
}

// ZoneFellSilent tells whether a zone fell silent within the last while and nobody in it
// has been heard since, even if all its machines were given back.
func (w *Detector) ZoneFellSilent(zone string, now time.Time, within time.Duration) bool {
	group := w.zones[zone]
	return group != nil && !group.silentSince.IsZero() && now.Sub(group.silentSince) < within
}

// missedHeartbeat tells whether a report that should have come did not. That alone says
// little; the machine is called.
func (w *Detector) missedHeartbeat(m *machine, now time.Time) bool {
	return m.synced && (w.cfg.HeartbeatOverdue > 0 && now.Sub(m.lastHeartbeat) > w.cfg.HeartbeatOverdue || w.isGroupSilent(m.zone.machineCount, m.zone.lastHeartbeat, now))
}
