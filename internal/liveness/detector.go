package liveness

import (
	"time"
)

// Detector knows all machines that take work, and decides which are dead. One goroutine owns
// it. Its caller reports heartbeats, commands and the outcomes of probes, and calls Tick every
// few hundred milliseconds. Methods given the id of an unknown machine do nothing.
type Detector struct {
	cfg            Config
	byID           map[string]*machine
	machines       []*machine // the same machines: a tick goes through all of them
	zones          map[string]*zone
	fullDisruption bool
	lastHeartbeat  time.Time // of any machine
}

// New makes a detector that knows no machine.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, byID: map[string]*machine{}, zones: map[string]*zone{}}
}

// Restore adds a machine that an earlier leader knew. It has not reported to this leader: it
// becomes suspect only when its worker's lease must have expired.
func (d *Detector) Restore(id, zone string, now time.Time) {
	if _, ok := d.byID[id]; !ok {
		d.add(id, zone).lastHeartbeat = now
	}
}

// Forget drops a machine that is gone.
func (d *Detector) Forget(id string) {
	forgotten := d.byID[id]
	if forgotten == nil {
		return
	}
	forgotten.zone.machineCount--
	delete(d.byID, id)
	last := d.machines[len(d.machines)-1]
	d.machines[forgotten.index], last.index = last, forgotten.index
	d.machines = d.machines[:len(d.machines)-1]
}

// Heartbeat takes in a heartbeat, of a machine that may be new or in another zone than before.
// A copy that was held up on the way changes nothing: it does not show that the machine is
// alive now.
func (d *Detector) Heartbeat(id, zone string, seq HeartbeatSeq, now time.Time) {
	reporter := d.byID[id]
	if reporter == nil {
		reporter = d.add(id, zone)
	} else if reporter.synced && !reporter.newestSeq.Before(seq) {
		return
	}
	if reporter.hasWatermark() && !seq.Before(reporter.watermark) {
		reporter.watermark = HeartbeatSeq{}
	}
	if current := d.zoneNamed(zone); current != reporter.zone {
		moveToZone(reporter, current)
	}
	reporter.lastHeartbeat, reporter.newestSeq, reporter.commandsSince = now, seq, 0
	d.lastHeartbeat = now
	reporter.zone.lastHeartbeat, reporter.zone.silentSince = now, time.Time{}
	reporter.synced, reporter.lagging, reporter.suspected = true, false, false
	if !reporter.unreachable {
		reporter.revoke()
	}
	if d.fullDisruption {
		d.endDisruption(now)
	}
}

// CommandSent notes that a command was sent: if it arrives, it raises the worker's counter,
// whether or not the answer arrives here.
func (d *Detector) CommandSent(id string) {
	if m := d.byID[id]; m != nil {
		m.commandsSince++
	}
}

// CommandAnswered takes in the counter in a worker's answer to a command. An answer is no
// heartbeat: a worker that answers but sends none that arrive becomes suspect all the same.
func (d *Detector) CommandAnswered(id string, seq HeartbeatSeq) {
	if m := d.byID[id]; m != nil {
		m.advance(seq)
	}
}

// Suspect takes in a sign that a machine is gone, such as that the cloud no longer lists it. It
// is probed at the next tick; only the probe can confirm its death.
func (d *Detector) Suspect(id string) {
	if m := d.byID[id]; m != nil && m.synced {
		m.suspected = true
	}
}

// MarkUnreachable takes in that a machine's heartbeats arrive, but that our answers do not
// reach it. Heartbeats do not make it alive any more, until MarkReachable.
func (d *Detector) MarkUnreachable(id string) {
	if m := d.byID[id]; m != nil {
		m.unreachable = true
	}
}

// MarkReachable takes in that an answer or a command has reached a machine.
func (d *Detector) MarkReachable(id string) {
	if m := d.byID[id]; m != nil && m.unreachable {
		m.unreachable = false
		m.revoke()
	}
}

// IsDead tells whether the verdict on a machine was given, and not revoked by a heartbeat.
func (d *Detector) IsDead(id string) bool {
	m := d.byID[id]
	return m != nil && m.dead
}

// Schedulable tells whether tasks may be placed on a machine: it has reported to this leader
// and is neither suspect, dead nor lagging.
func (d *Detector) Schedulable(id string, now time.Time) bool {
	m := d.byID[id]
	return m != nil && m.synced && !m.dead && !m.lagging && m.deathReason == "" && !d.isSuspect(m, now)
}

func (d *Detector) add(id, zone string) *machine {
	m := &machine{id: id, index: len(d.machines), zone: d.zoneNamed(zone)}
	m.zone.machineCount++
	d.byID[id] = m
	d.machines = append(d.machines, m)
	return m
}

// zoneNamed returns a zone, which it adds if need be. Zones are never dropped: that one fell
// silent is remembered when its last machine is gone.
func (d *Detector) zoneNamed(name string) *zone {
	found := d.zones[name]
	if found == nil {
		found = &zone{}
		d.zones[name] = found
	}
	return found
}

func moveToZone(m *machine, z *zone) {
	m.zone.machineCount--
	m.zone = z
	z.machineCount++
}
