package liveness

import (
	"time"
)

// isSuspect reports whether a machine is to be probed or judged.
func (d *Detector) isSuspect(m *machine, now time.Time) bool {
	return m.suspected || m.unreachable || d.isSilent(m, now)
}

// isSilent reports whether a machine has sent no heartbeat for so long that it may be judged dead.
func (d *Detector) isSilent(m *machine, now time.Time) bool {
	limit := d.cfg.SuspectAfter
	if !m.synced {
		limit = d.cfg.LeaseExpiry
	}
	return now.Sub(m.lastHeartbeat) > limit
}

// missedHeartbeat reports whether a machine's heartbeat is overdue or its whole zone is silent.
// This justifies a probe but not a verdict.
func (d *Detector) missedHeartbeat(m *machine, now time.Time) bool {
	if !m.synced {
		return false
	}
	overdue := d.cfg.HeartbeatOverdue > 0 && now.Sub(m.lastHeartbeat) > d.cfg.HeartbeatOverdue
	return overdue || d.isGroupSilent(m.zone.machineCount, m.zone.lastHeartbeat, now)
}

// minGroupSize is the number of machines that a group needs before its silence says more than that
// of each machine: with only a few, heartbeats may be missing at the same time by chance.
const minGroupSize = 4

// isGroupSilent reports whether a group of machines has been silent for so long that a common
// cause is likely: all of them are gone, or their connection to this leader is.
func (d *Detector) isGroupSilent(size int, lastHeartbeat, now time.Time) bool {
	return d.cfg.GroupSuspectAfter > 0 && size >= minGroupSize && !lastHeartbeat.IsZero() &&
		now.Sub(lastHeartbeat) > d.cfg.GroupSuspectAfter
}

// ZoneFellSilent reports whether a whole zone fell silent within the given time before now and has
// sent no heartbeat since, even if all its machines have been released in the meantime.
func (d *Detector) ZoneFellSilent(zone string, now time.Time, within time.Duration) bool {
	z := d.zones[zone]
	return z != nil && !z.silentSince.IsZero() && now.Sub(z.silentSince) < within
}
