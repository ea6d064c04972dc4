package liveness

import (
	"time"
)

// Schedulable tells whether work may go to a machine: it has reported to this
// leader and is neither silent, dead nor lagging.
func (w *Detector) Schedulable(id string, now time.Time) bool {
	m := w.machines[id]
	return m != nil && m.synced && !m.judged && !m.lagging && m.confirmed == "" && !w.looksDead(m, now)
}

// VerdictsOnHold tells whether a floor holds all verdicts.
func (w *Detector) VerdictsOnHold(now time.Time) bool {
	for _, m := range w.all {
		if m.floor != (HeartbeatSeq{}) && now.Before(m.holdUntil) {
			return true
		}
	}
	return false
}

// FullDisruption tells whether every zone looks dead.
func (w *Detector) FullDisruption() bool { return w.disrupted }

func (w *Detector) silent(m *machine, now time.Time) bool {
	limit := w.cfg.SuspectAfter
	if !m.synced {
		limit = w.cfg.LeaseExpiry
	}
	return now.Sub(m.heard) > limit
}

// looksDead tells whether a machine is to be called.
func (w *Detector) looksDead(m *machine, now time.Time) bool {
	return m.suspect || m.unreachable || w.silent(m, now)
}

// leastGroup is how many machines a zone needs for its silence to say more than
// that of each: the periods of a few may fall together.
const leastGroup = 4

// silentGroup tells whether so many machines have been unheard for so long that what
// lies between them and us, or all of them, must be gone.
func (w *Detector) silentGroup(machines int, heard, now time.Time) bool {
	return w.cfg.GroupSuspectAfter > 0 && machines >= leastGroup && !heard.IsZero() && now.Sub(heard) > w.cfg.GroupSuspectAfter
}

// ZoneFellSilent tells whether a zone fell silent within the last while and nobody in it
// has been heard since, even if all its machines were given back.
func (w *Detector) ZoneFellSilent(zone string, now time.Time, while time.Duration) bool {
	z := w.zones[zone]
	return z != nil && !z.silentSince.IsZero() && now.Sub(z.silentSince) < while
}

// missed tells whether a report that should have come did not. That alone says
// little; the machine is called.
func (w *Detector) missed(m *machine, now time.Time) bool {
	return m.synced && (w.cfg.HeartbeatOverdue > 0 && now.Sub(m.heard) > w.cfg.HeartbeatOverdue || w.silentGroup(m.zone.machines, m.zone.heard, now))
}
