package liveness

import (
	"time"
)

// Detector tracks all machines that take work and decides which of them are dead. It must be used
// from one goroutine. The caller reports heartbeats, commands and the outcomes of probes, and
// calls Tick every few hundred milliseconds. Methods other than Heartbeat and Restore, which add
// machines, do nothing if the machine is unknown.
type Detector struct {
	cfg            Config
	byID           map[string]*machine
	machines       []*machine // the values of byID, in a slice because every tick iterates over all of them
	zones          map[string]*zone
	fullDisruption bool
	lastHeartbeat  time.Time // of any machine
}

// New returns a detector without machines.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, byID: map[string]*machine{}, zones: map[string]*zone{}}
}

// Restore adds a machine known from an earlier leader. As it has not reported to this leader, it
// becomes suspect only when its worker's lease must have expired.
func (d *Detector) Restore(id, zone string, now time.Time) {
	if _, ok := d.byID[id]; !ok {
		d.add(id, zone).lastHeartbeat = now
	}
}

// Forget removes a machine that no longer exists.
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

// Heartbeat records a heartbeat of a machine, which may be new or may have moved to another zone.
// It ignores a heartbeat that is not newer than the machine's newest message, since a delayed copy
// does not show that the machine is alive now.
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
	if current := d.getOrCreateZone(zone); current != reporter.zone {
		moveToZone(reporter, current)
	}
	reporter.lastHeartbeat, reporter.newestSeq, reporter.commandsSinceNewestSeq = now, seq, 0
	d.lastHeartbeat = now
	reporter.zone.lastHeartbeat, reporter.zone.silentSince = now, time.Time{}
	reporter.synced, reporter.lagging, reporter.suspected = true, false, false
	if !reporter.unreachable {
		reporter.revokeDeath()
	}
	if d.fullDisruption {
		d.endDisruption(now)
	}
}

// CommandSent records that a command was sent. If the command arrives, it increments the worker's
// counter, whether or not its response is received.
func (d *Detector) CommandSent(id string) {
	if m := d.byID[id]; m != nil {
		m.commandsSinceNewestSeq++
	}
}

// CommandAnswered records the sequence in a worker's response to a command. A response does not
// count as a heartbeat: a worker that responds but whose heartbeats do not arrive still becomes
// suspect.
func (d *Detector) CommandAnswered(id string, seq HeartbeatSeq) {
	if m := d.byID[id]; m != nil {
		m.advance(seq)
	}
}

// Suspect records a sign that a machine is gone, for example that the cloud no longer lists it.
// The machine is probed at the next tick; only the probe can confirm its death.
func (d *Detector) Suspect(id string) {
	if m := d.byID[id]; m != nil && m.synced {
		m.suspected = true
	}
}

// MarkUnreachable records that a machine's heartbeats arrive, but that the leader's responses do not
// reach it. Its heartbeats no longer prove that it is alive until MarkReachable is called.
func (d *Detector) MarkUnreachable(id string) {
	if m := d.byID[id]; m != nil {
		m.unreachable = true
	}
}

// MarkReachable records that a response or a command has reached a machine.
func (d *Detector) MarkReachable(id string) {
	if m := d.byID[id]; m != nil && m.unreachable {
		m.unreachable = false
		m.revokeDeath()
	}
}

// IsDead reports whether a verdict on the machine has been given and has not been revoked since.
func (d *Detector) IsDead(id string) bool {
	m := d.byID[id]
	return m != nil && m.dead
}

// Schedulable reports whether tasks may be placed on a machine: it has reported to this leader and
// is neither suspect, dead nor lagging.
func (d *Detector) Schedulable(id string, now time.Time) bool {
	m := d.byID[id]
	return m != nil && m.synced && !m.dead && !m.lagging && m.deathReason == "" && !d.isSuspect(m, now)
}

func (d *Detector) add(id, zone string) *machine {
	m := &machine{id: id, index: len(d.machines), zone: d.getOrCreateZone(zone)}
	m.zone.machineCount++
	d.byID[id] = m
	d.machines = append(d.machines, m)
	return m
}

// getOrCreateZone returns the named zone, and adds it if it does not exist. Zones are never
// removed, so that a zone is known to have fallen silent even when its last machine has been
// removed.
func (d *Detector) getOrCreateZone(name string) *zone {
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
