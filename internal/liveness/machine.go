package liveness

import (
	"time"
)

// machine is the detector's state of one machine.
type machine struct {
	id    string
	index int // index into Detector.machines
	zone  *zone

	lastHeartbeat          time.Time
	synced                 bool         // it has sent a heartbeat to this leader
	newestSeq              HeartbeatSeq // sequence of the newest heartbeat or response received
	commandsSinceNewestSeq uint64       // commands and probes sent since newestSeq was received

	suspected   bool // there is a sign that it is gone, however recent its last heartbeat is
	unreachable bool // its heartbeats arrive, but messages to it do not

	probing        bool // a probe is in flight
	probeNotBefore time.Time

	deathReason Reason    // set once a probe has confirmed the death and a verdict is due
	confirmedAt time.Time // when the death was confirmed
	dead        bool      // the verdict has been given

	// watermark is the sequence that a heartbeat must reach before any verdict is given again;
	// zero if this machine holds back none. It expires at holdExpires.
	watermark   HeartbeatSeq
	holdExpires time.Time
	// lagging is set when a hold caused by this machine has expired. Its heartbeats then lag for a
	// reason of its own, so it must not hold back verdicts on other machines again.
	lagging bool
}

// hasWatermark reports whether the machine has a watermark that no heartbeat has reached yet.
func (m *machine) hasWatermark() bool { return m.watermark != (HeartbeatSeq{}) }

// advance records the sequence of a message if it is the newest so far, and restarts the count of
// commands sent since then.
func (m *machine) advance(seq HeartbeatSeq) {
	if m.newestSeq.Before(seq) {
		m.newestSeq, m.commandsSinceNewestSeq = seq, 0
	}
}

// confirmDeath marks the machine as confirmed dead, which makes a verdict due.
func (m *machine) confirmDeath(reason Reason, now time.Time) {
	m.deathReason, m.confirmedAt = reason, now
}

// revokeDeath withdraws a death, whether only confirmed or already given as a verdict.
func (m *machine) revokeDeath() { m.dead, m.deathReason = false, "" }

// zone is the state that the machines of one zone share.
type zone struct {
	machineCount  int
	lastHeartbeat time.Time       // of any machine in the zone, removed ones included
	silentSince   time.Time       // when the whole zone fell silent; cleared by its next heartbeat
	limiter       *verdictLimiter // nil before the first verdict in the zone
}
