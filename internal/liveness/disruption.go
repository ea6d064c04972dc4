package liveness

import (
	"time"
)

// FullDisruption tells whether every zone looks dead.
func (w *Detector) FullDisruption() bool { return w.fullDisruption }

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

// setRateOfAllZones changes the pace of all zones that have had a verdict.
func (w *Detector) setRateOfAllZones(verdicts int, interval time.Duration, now time.Time) {
	for _, z := range w.zones {
		if z.limiter != nil {
			z.limiter.setRate(verdicts, interval, now)
		}
	}
}
