package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Tick returns the machines to call now, as many as may be, and the verdicts to
// carry out.
func (w *Detector) Tick(now time.Time, most int) (calls []string, verdicts []Verdict) {
	if !w.disrupted && (w.allSilent(now) || w.silentGroup(len(w.all), w.lastHeard, now)) {
		w.disrupted = true
		w.setPace(1, 0, now)
	}
	for _, z := range w.zones {
		if z.silentSince.IsZero() && w.silentGroup(z.machines, z.heard, now) {
			z.silentSince = now
		}
	}
	held := false
	var ids []string
	for _, m := range w.all {
		m.suspect = m.suspect || w.missed(m, now)
		if !m.judged && !m.calling && w.looksDead(m, now) {
			ids = append(ids, m.id)
		}
		if m.floor == (HeartbeatSeq{}) {
			continue
		}
		if now.Before(m.holdUntil) {
			held = true
			continue
		}
		// The grace is over and the report never came: this machine's lag says
		// nothing about the others, and it may not hold them up again.
		m.floor, m.lagging = HeartbeatSeq{}, true
	}
	w.order(ids)
	for _, id := range ids {
		m := w.machines[id]
		if m.confirmed == "" {
			if now.Before(m.callAfter) || len(calls) >= most {
				continue
			}
			m.calling = true
			m.calls++
			calls = append(calls, id)
			continue
		}
		// A leader that has just lost its connection finds machine after machine
		// silent before it finds all of them so. A report that comes after the
		// confirmation shows that it still hears anything at all.
		if held || w.disrupted || !w.lastHeard.After(m.since) || !w.pacer(m.zone, now).allow(now) {
			continue
		}
		m.judged = true
		verdicts = append(verdicts, Verdict{id, m.confirmed})
	}
	return calls, verdicts
}

// order puts the machines on which most depends first.
func (w *Detector) order(ids []string) {
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

// ProbeNotSent takes in that a call failed for the caller's own want of something: it says
// nothing of the machine. It is made again a little later.
func (w *Detector) ProbeNotSent(id string, now time.Time) {
	if m := w.machines[id]; m != nil && m.calling {
		m.calling = false
		m.callAfter = now.Add(w.cfg.HoldTimeout / 4)
	}
}

// ProbeDone takes in the outcome of a call that Tick asked for.
func (w *Detector) ProbeDone(id string, ok bool, c HeartbeatSeq, now time.Time) {
	m := w.machines[id]
	if m == nil || !m.calling {
		return
	}
	m.calling = false
	if !w.looksDead(m, now) {
		return // it reported meanwhile
	}
	if !ok {
		m.floor = HeartbeatSeq{}
		m.confirmed, m.since = ProbeFailed, now
		return
	}
	m.suspect = false
	w.MarkReachable(id)
	if !w.silent(m, now) {
		if m.known.Before(c) {
			m.known, m.calls = c, 0
		}
		m.callAfter = now.Add(w.cfg.HoldTimeout / 2)
		return // alive, whatever the signs were
	}
	// Each call of ours that arrived raised the counter by one, this one too.
	// What is beyond them are reports that we have missed: our picture lags,
	// and it may lag for every machine.
	expected := HeartbeatSeq{m.known.Session, m.known.Seq + m.calls}
	ahead := m.synced && expected.Before(c)
	// The answer is a newer picture, so that our next calls are counted from
	// it. The floor is the last report before it, set once for a hold: were it
	// raised by our own calls, the hold would feed itself.
	if m.known.Before(c) {
		m.known, m.calls = c, 0
	}
	switch {
	case ahead && !m.lagging:
		if m.floor == (HeartbeatSeq{}) {
			m.floor = c
			m.holdUntil = now.Add(w.cfg.HoldTimeout)
		}
		m.callAfter = now.Add(w.cfg.HoldTimeout / 2)
	case m.lagging:
		m.confirmed, m.since = HeartbeatsLost, now
	default:
		m.confirmed, m.since = NoHeartbeatMissed, now
	}
}

// pacer returns a zone's pacer. The share of a zone that may be given up in a
// given time is much the same, however large it is.
func (w *Detector) pacer(z *zone, now time.Time) *verdictLimiter {
	each := max(1, z.machines/max(1, w.cfg.MachinesPerVerdict))
	if z.pacer == nil {
		z.pacer = newVerdictLimiter(each, w.cfg.VerdictInterval)
	}
	z.pacer.setRate(each, w.cfg.VerdictInterval, now)
	return z.pacer
}

// setPace changes the pace of all zones that have had a verdict.
func (w *Detector) setPace(each int, gap time.Duration, now time.Time) {
	for _, z := range w.zones {
		if z.pacer != nil {
			z.pacer.setRate(each, gap, now)
		}
	}
}

// allSilent tells whether every machine of every zone looks dead.
func (w *Detector) allSilent(now time.Time) bool {
	if len(w.all) == 0 {
		return false
	}
	for _, m := range w.all {
		if !w.silent(m, now) {
			return false
		}
	}
	return true
}

// leaveDisruption starts afresh: what was silent for lack of any connection
// must not look dead at once.
func (w *Detector) leaveDisruption(now time.Time) {
	w.disrupted = false
	for _, z := range w.zones {
		if !z.heard.IsZero() { // nothing was ever heard of the others
			z.heard = now
		}
	}
	for _, m := range w.all {
		m.heard, m.confirmed, m.suspect = now, "", false
	}
	w.setPace(1, w.cfg.VerdictInterval, now) // and to the pace of its size with the next verdict
}
