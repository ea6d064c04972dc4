package liveness

import (
	"time"
)

// machine is what the detector knows of one machine.
type machine struct {
	id    string
	index int // into Detector.machines
	zone  *zone

	lastHeartbeat time.Time
	synced        bool         // it has sent a heartbeat to this leader
	newestSeq     HeartbeatSeq // of the newest heartbeat or answer
	commandsSince uint64       // commands, probes among them, sent since newestSeq

	suspected   bool // there is a sign that it is gone, whatever its last heartbeat says
	unreachable bool // its heartbeats arrive, but nothing reaches it

	probing        bool // a probe is in flight
	probeNotBefore time.Time

	deathReason Reason    // set once a probe has confirmed the death: the verdict is due
	confirmedAt time.Time // when that was
	dead        bool      // the verdict was given

	// watermark is the counter that a heartbeat must reach before verdicts are given again;
	// zero while the machine holds none up. It holds them until holdExpires at most.
	watermark   HeartbeatSeq
	holdExpires time.Time
	// lagging is set when a hold has expired on the machine: its heartbeats lag for a reason of
	// its own, so that it must not hold up verdicts on others again.
	lagging bool
}

// hasWatermark tells whether the machine has set a watermark that no heartbeat has reached.
func (m *machine) hasWatermark() bool { return m.watermark != (HeartbeatSeq{}) }

// advance takes in the counter of a newer message. Commands sent from now on are counted from
// it.
func (m *machine) advance(seq HeartbeatSeq) {
	if m.newestSeq.Before(seq) {
		m.newestSeq, m.commandsSince = seq, 0
	}
}

// confirmDeath makes a verdict due.
func (m *machine) confirmDeath(reason Reason, now time.Time) {
	m.deathReason, m.confirmedAt = reason, now
}

// revoke takes back a death, confirmed or given as a verdict.
func (m *machine) revoke() { m.dead, m.deathReason = false, "" }

// zone is what the machines of one zone have in common.
type zone struct {
	machineCount  int
	lastHeartbeat time.Time       // of any machine that was in it
	silentSince   time.Time       // set when the whole zone fell silent, until the next heartbeat
	limiter       *verdictLimiter // nil before the first verdict
}
