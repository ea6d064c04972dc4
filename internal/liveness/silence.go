package liveness

import (
	"time"
)

// isSuspect tells whether a machine is to be probed, and stays to be judged.
func (d *Detector) isSuspect(m *machine, now time.Time) bool {
	return m.suspected || m.unreachable || d.isSilent(m, now)
}

// isSilent tells whether a machine's heartbeats have been missing for so long that it may be
// judged dead.
func (d *Detector) isSilent(m *machine, now time.Time) bool {
	limit := d.cfg.SuspectAfter
	if !m.synced {
		limit = d.cfg.LeaseExpiry
	}
	return now.Sub(m.lastHeartbeat) > limit
}

// missedHeartbeat tells whether a heartbeat that should have come did not, or none from the
// whole zone. That is reason enough for a probe, and for nothing else.
func (d *Detector) missedHeartbeat(m *machine, now time.Time) bool {
	if !m.synced {
		return false
	}
	overdue := d.cfg.HeartbeatOverdue > 0 && now.Sub(m.lastHeartbeat) > d.cfg.HeartbeatOverdue
	return overdue || d.isGroupSilent(m.zone.machineCount, m.zone.lastHeartbeat, now)
}

// minGroupSize is how many machines a group needs for its silence to say more than that of
// each: those of a few may happen to fall together.
const minGroupSize = 4

// isGroupSilent tells whether a group of machines has been silent for so long that a common
// cause is likely: all of them are gone, or what connects them to this leader is.
func (d *Detector) isGroupSilent(size int, lastHeartbeat, now time.Time) bool {
	return d.cfg.GroupSuspectAfter > 0 && size >= minGroupSize && !lastHeartbeat.IsZero() &&
		now.Sub(lastHeartbeat) > d.cfg.GroupSuspectAfter
}

// ZoneFellSilent tells whether a zone fell silent as a whole within the given time, with no
// heartbeat from it since, even if all its machines have been released meanwhile.
func (d *Detector) ZoneFellSilent(zone string, now time.Time, within time.Duration) bool {
	z := d.zones[zone]
	return z != nil && !z.silentSince.IsZero() && now.Sub(z.silentSince) < within
}
