package liveness

import (
	"time"
)

// Detector keeps the picture of all machines. One goroutine owns it.
type Detector struct {
	cfg            Config
	byID           map[string]*machine
	machines       []*machine // the same: each tick goes through them
	zones          map[string]*zone
	fullDisruption bool
	lastHeartbeat  time.Time // the last report of any machine
}

// New makes an empty picture.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, byID: map[string]*machine{}, zones: map[string]*zone{}}
}

func (w *Detector) zoneNamed(name string) *zone {
	found := w.zones[name]
	if found == nil {
		found = &zone{}
		w.zones[name] = found
	}
	return found
}

func (w *Detector) add(id, zone string) *machine {
	m := &machine{id: id, index: len(w.machines), zone: w.zoneNamed(zone)}
	m.zone.machineCount++
	w.byID[id] = m
	w.machines = append(w.machines, m)
	return m
}

func (w *Detector) moveToZone(m *machine, z *zone) {
	m.zone.machineCount--
	m.zone = z
	z.machineCount++
}

// Restore adds a machine that an earlier leader knew. It is unsynced: until it
// reports, or until its lease must have run out, nothing is judged.
func (w *Detector) Restore(id, zone string, now time.Time) {
	if _, ok := w.byID[id]; !ok {
		w.add(id, zone).lastHeartbeat = now
	}
}

// Forget drops a machine that is gone.
func (w *Detector) Forget(id string) {
	m := w.byID[id]
	if m == nil {
		return
	}
	m.zone.machineCount--
	delete(w.byID, id)
	last := w.machines[len(w.machines)-1]
	w.machines[m.index], last.index = last, m.index
	w.machines = w.machines[:len(w.machines)-1]
}

// Heartbeat takes in a report. Old copies that were held up on the way change
// nothing: they do not show that the machine is alive now.
func (w *Detector) Heartbeat(id, zone string, seq HeartbeatSeq, now time.Time) {
	reporter := w.byID[id]
	if reporter == nil {
		reporter = w.add(id, zone)
	} else if reporter.synced && !reporter.newestSeq.Before(seq) {
		return
	}
	if reporter.watermark != (HeartbeatSeq{}) && !seq.Before(reporter.watermark) {
		reporter.watermark = HeartbeatSeq{}
	}
	if current := w.zoneNamed(zone); current != reporter.zone {
		w.moveToZone(reporter, current)
	}
	reporter.lastHeartbeat, reporter.newestSeq, reporter.commandsSince = now, seq, 0
	w.lastHeartbeat = now
	reporter.zone.lastHeartbeat, reporter.zone.silentSince = now, time.Time{}
	reporter.synced, reporter.lagging, reporter.suspected = true, false, false
	if !reporter.unreachable {
		reporter.dead, reporter.deathReason = false, ""
	}
	if w.fullDisruption {
		w.endDisruption(now)
	}
}

// CommandAnswered takes in a worker's answer to an order: a newer picture, but no
// report, so that the machine is not heard by it.
func (w *Detector) CommandAnswered(id string, seq HeartbeatSeq) {
	if m := w.byID[id]; m != nil && m.newestSeq.Before(seq) {
		m.newestSeq, m.commandsSince = seq, 0
	}
}

// CommandSent notes that an order was sent: if it arrives, it raises the counter,
// whether or not its answer does.
func (w *Detector) CommandSent(id string) {
	if m := w.byID[id]; m != nil {
		m.commandsSince++
	}
}

// Suspect takes in a sign that a machine is gone, such as that the cloud lists it
// no more. It is called at once; only a call that fails confirms anything.
func (w *Detector) Suspect(id string) {
	if m := w.byID[id]; m != nil && m.synced {
		m.suspected = true
	}
}

// MarkUnreachable takes in that a machine's reports arrive but our answers do not. It does
// not look healthy by its reports any more, until something reaches it again.
func (w *Detector) MarkUnreachable(id string) {
	if m := w.byID[id]; m != nil {
		m.unreachable = true
	}
}

// MarkReachable takes in that something has reached a machine.
func (w *Detector) MarkReachable(id string) {
	if m := w.byID[id]; m != nil && m.unreachable {
		m.unreachable, m.dead, m.deathReason = false, false, ""
	}
}

// IsDead tells whether a machine's death has been decided.
func (w *Detector) IsDead(id string) bool {
	m := w.byID[id]
	return m != nil && m.dead
}
