package liveness

import (
	"time"
)

// FullDisruption reports whether every zone is silent, in which case no verdicts are given.
func (d *Detector) FullDisruption() bool { return d.fullDisruption }

// detectDisruption records when all machines, or all machines of a zone, have fallen silent.
func (d *Detector) detectDisruption(now time.Time) {
	if !d.fullDisruption && (d.allMachinesSilent(now) || d.isGroupSilent(len(d.machines), d.lastHeartbeat, now)) {
		d.fullDisruption = true
		d.setVerdictRates(1, 0, now)
	}
	for _, zone := range d.zones {
		if zone.silentSince.IsZero() && d.isGroupSilent(zone.machineCount, zone.lastHeartbeat, now) {
			zone.silentSince = now
		}
	}
}

// allMachinesSilent reports whether there are machines and all of them are silent.
func (d *Detector) allMachinesSilent(now time.Time) bool {
	for _, m := range d.machines {
		if !d.isSilent(m, now) {
			return false
		}
	}
	return len(d.machines) > 0
}

// endDisruption treats all machines as if they had just sent a heartbeat, since a machine that was
// silent because the leader had no connection must not become suspect at once.
func (d *Detector) endDisruption(now time.Time) {
	d.fullDisruption = false
	for _, zone := range d.zones {
		if !zone.lastHeartbeat.IsZero() { // a zone that has never sent a heartbeat cannot fall silent
			zone.lastHeartbeat = now
		}
	}
	for _, member := range d.machines {
		member.lastHeartbeat, member.deathReason, member.suspected = now, "", false
	}
	// limiterOf adjusts the rate to the zone's size at the next verdict.
	d.setVerdictRates(1, d.cfg.VerdictInterval, now)
}

// setVerdictRates changes the rate limit of all zones that have had a verdict.
func (d *Detector) setVerdictRates(verdicts int, interval time.Duration, now time.Time) {
	for _, z := range d.zones {
		if z.limiter != nil {
			z.limiter.setRate(verdicts, interval, now)
		}
	}
}
