package liveness

import (
	"time"
)

// Config holds the detector's timers, which package settings derives, and its rate limit.
type Config struct {
	SuspectAfter time.Duration // silence after which a machine is suspect
	// LeaseExpiry replaces SuspectAfter for a machine that has not reported to this leader: by
	// then its worker's lease has expired.
	LeaseExpiry time.Duration
	HoldTimeout time.Duration // longest time for which one watermark holds all verdicts

	// Each zone may have one verdict per VerdictInterval for every MachinesPerVerdict machines in
	// it, and at least one. A VerdictInterval of zero stops all verdicts after the first in a
	// zone.
	VerdictInterval    time.Duration
	MachinesPerVerdict int

	// A machine becomes suspect before SuspectAfter if it has sent no heartbeat for
	// HeartbeatOverdue, or if no machine of its zone has sent one for GroupSuspectAfter. Zero
	// disables the check.
	HeartbeatOverdue, GroupSuspectAfter time.Duration

	// Importance returns how much depends on a machine: machines with higher values are probed and
	// judged first. If it is nil, all machines are equal.
	Importance func(id string) int
}
