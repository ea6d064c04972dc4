package liveness

import (
	"time"
)

// Config holds the detector's timers, all of which the settings package derives.
type Config struct {
	SuspectAfter time.Duration // a machine without a heartbeat for so long is suspect
	LeaseExpiry  time.Duration // the same for a machine that has not reported to this leader: its worker's lease has expired then
	HoldTimeout  time.Duration // one watermark holds all verdicts for so long at most

	// In each VerdictInterval a zone may have one verdict for every MachinesPerVerdict machines
	// in it, and one at least. No interval stops all verdicts.
	VerdictInterval    time.Duration
	MachinesPerVerdict int

	// A machine is suspect before SuspectAfter, too, if its heartbeat is overdue for
	// HeartbeatOverdue, or if no machine of its zone has sent one for GroupSuspectAfter. Zero
	// disables either.
	HeartbeatOverdue, GroupSuspectAfter time.Duration

	// Importance says how much depends on a machine: the more, the sooner it is probed and
	// judged. With nil all machines are equal.
	Importance func(id string) int
}
