// Package liveness decides which machines are dead. It follows the article
// that docs/design.md names: a machine that looks dead is called first, a
// counter ahead of the picture holds all verdicts, and verdicts stop while
// every zone looks dead. It does no I/O and reads no clock.
package liveness

import (
	"time"
)

// Config holds the periods, all derived from the settings.
type Config struct {
	SuspectAfter       time.Duration // unheard for so long, a machine looks dead
	LeaseExpiry        time.Duration // by then a worker has ended its tasks by itself
	HoldTimeout        time.Duration // how long one floor holds all verdicts
	VerdictInterval    time.Duration // between two verdicts in a zone of up to ZoneSize machines; larger ones have more in it
	MachinesPerVerdict int
	// A machine whose report is overdue, or of whose zone nobody is heard, is
	// called before it has been silent for as long as SilentFor.
	HeartbeatOverdue, GroupSuspectAfter time.Duration
	// Importance tells how much depends on a machine: the more, the earlier its turn to
	// be called and judged. Nil takes all for equal.
	Importance func(id string) int
}

// HeartbeatSeq orders the messages of one worker.
type HeartbeatSeq struct{ Session, Seq uint64 }

// Before tells whether c is older than d.
func (c HeartbeatSeq) Before(d HeartbeatSeq) bool {
	return c.Session < d.Session || c.Session == d.Session && c.Seq < d.Seq
}

// Reason says why a machine was judged dead.
type Reason string

// The reasons of verdicts.
const (
	ProbeFailed       Reason = "call failed"
	NoHeartbeatMissed Reason = "no report missed"
	HeartbeatsLost    Reason = "reports stay away"
)

// Verdict is a confirmed death.
type Verdict struct {
	Machine string
	Reason  Reason
}

type machine struct {
	id          string
	at          int // index into Watch.all
	zone        *zone
	heard       time.Time    // when its last report came
	known       HeartbeatSeq // of the newest message seen
	calls       uint64       // calls sent since then: each raises the counter once
	synced      bool         // has reported to this leader
	calling     bool
	callAfter   time.Time    // one answer is enough for a while
	confirmed   Reason       // set: dead, the verdict awaits its turn
	since       time.Time    // when it was confirmed
	judged      bool         // the verdict is out
	floor       HeartbeatSeq // set: the report that ends the hold
	holdUntil   time.Time    // a floor holds no longer than this
	lagging     bool         // a hold ran out on it; it may not cause another
	suspect     bool         // there are signs that it is gone: it is called before it falls silent
	unreachable bool         // its reports arrive, but it does not hear us
}

// zone is what the machines of one zone have in common.
type zone struct {
	machines    int             // in the picture
	heard       time.Time       // the last report of any machine that was in it
	silentSince time.Time       // set while nobody of it is heard
	pacer       *verdictLimiter // of its verdicts; nil before the first
}

// Detector keeps the picture of all machines. One goroutine owns it.
type Detector struct {
	cfg       Config
	machines  map[string]*machine
	all       []*machine // the same: each tick goes through them
	zones     map[string]*zone
	disrupted bool
	lastHeard time.Time // the last report of any machine
}

// New makes an empty picture.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, machines: map[string]*machine{}, zones: map[string]*zone{}}
}

func (w *Detector) zone(name string) *zone {
	z := w.zones[name]
	if z == nil {
		z = &zone{}
		w.zones[name] = z
	}
	return z
}

func (w *Detector) add(id, zone string) *machine {
	m := &machine{id: id, at: len(w.all), zone: w.zone(zone)}
	m.zone.machines++
	w.machines[id] = m
	w.all = append(w.all, m)
	return m
}

func (w *Detector) move(m *machine, z *zone) {
	m.zone.machines--
	m.zone = z
	z.machines++
}

// Restore adds a machine that an earlier leader knew. It is unsynced: until it
// reports, or until its lease must have run out, nothing is judged.
func (w *Detector) Restore(id, zone string, now time.Time) {
	if _, ok := w.machines[id]; !ok {
		w.add(id, zone).heard = now
	}
}

// Forget drops a machine that is gone.
func (w *Detector) Forget(id string) {
	m := w.machines[id]
	if m == nil {
		return
	}
	m.zone.machines--
	delete(w.machines, id)
	last := w.all[len(w.all)-1]
	w.all[m.at], last.at = last, m.at
	w.all = w.all[:len(w.all)-1]
}

// Heartbeat takes in a report. Old copies that were held up on the way change
// nothing: they do not show that the machine is alive now.
func (w *Detector) Heartbeat(id, zone string, c HeartbeatSeq, now time.Time) {
	m := w.machines[id]
	if m == nil {
		m = w.add(id, zone)
	} else if m.synced && !m.known.Before(c) {
		return
	}
	if m.floor != (HeartbeatSeq{}) && !c.Before(m.floor) {
		m.floor = HeartbeatSeq{}
	}
	if z := w.zone(zone); z != m.zone {
		w.move(m, z)
	}
	m.heard, m.known, m.calls = now, c, 0
	w.lastHeard = now
	m.zone.heard, m.zone.silentSince = now, time.Time{}
	m.synced, m.lagging, m.suspect = true, false, false
	if !m.unreachable {
		m.judged, m.confirmed = false, ""
	}
	if w.disrupted {
		w.leaveDisruption(now)
	}
}

// CommandAnswered takes in a worker's answer to an order: a newer picture, but no
// report, so that the machine is not heard by it.
func (w *Detector) CommandAnswered(id string, c HeartbeatSeq) {
	if m := w.machines[id]; m != nil && m.known.Before(c) {
		m.known, m.calls = c, 0
	}
}

// CommandSent notes that an order was sent: if it arrives, it raises the counter,
// whether or not its answer does.
func (w *Detector) CommandSent(id string) {
	if m := w.machines[id]; m != nil {
		m.calls++
	}
}

// Suspect takes in a sign that a machine is gone, such as that the cloud lists it
// no more. It is called at once; only a call that fails confirms anything.
func (w *Detector) Suspect(id string) {
	if m := w.machines[id]; m != nil && m.synced {
		m.suspect = true
	}
}

// MarkUnreachable takes in that a machine's reports arrive but our answers do not. It does
// not look healthy by its reports any more, until something reaches it again.
func (w *Detector) MarkUnreachable(id string) {
	if m := w.machines[id]; m != nil {
		m.unreachable = true
	}
}

// MarkReachable takes in that something has reached a machine.
func (w *Detector) MarkReachable(id string) {
	if m := w.machines[id]; m != nil && m.unreachable {
		m.unreachable, m.judged, m.confirmed = false, false, ""
	}
}

// IsDead tells whether a machine's death has been decided.
func (w *Detector) IsDead(id string) bool {
	m := w.machines[id]
	return m != nil && m.judged
}
