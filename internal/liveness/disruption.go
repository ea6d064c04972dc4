package liveness

import (
	"time"
)

// FullDisruption tells whether every zone is silent, so that there are no verdicts.
func (d *Detector) FullDisruption() bool { return d.fullDisruption }

// detectDisruption notes when all zones, or single ones, have fallen silent.
func (d *Detector) detectDisruption(now time.Time) {
	if !d.fullDisruption && (d.areAllSilent(now) || d.isGroupSilent(len(d.machines), d.lastHeartbeat, now)) {
		d.fullDisruption = true
		d.setVerdictRates(1, 0, now)
	}
	for _, zone := range d.zones {
		if zone.silentSince.IsZero() && d.isGroupSilent(zone.machineCount, zone.lastHeartbeat, now) {
			zone.silentSince = now
		}
	}
}

// areAllSilent tells whether there are machines, and all of them are silent.
func (d *Detector) areAllSilent(now time.Time) bool {
	for _, m := range d.machines {
		if !d.isSilent(m, now) {
			return false
		}
	}
	return len(d.machines) > 0
}

// endDisruption gives all machines a fresh start: what was silent for lack of any connection
// must not be suspect at once.
func (d *Detector) endDisruption(now time.Time) {
	d.fullDisruption = false
	for _, zone := range d.zones {
		if !zone.lastHeartbeat.IsZero() { // a zone that never sent one cannot fall silent
			zone.lastHeartbeat = now
		}
	}
	for _, member := range d.machines {
		member.lastHeartbeat, member.deathReason, member.suspected = now, "", false
	}
	// limiterOf sets the rate by the zone's size at its next verdict.
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
