package liveness

import (
	"time"
)

type machine struct {
	id             string
	index          int // index into Watch.all
	zone           *zone
	lastHeartbeat  time.Time    // when its last report came
	newestSeq      HeartbeatSeq // of the newest message seen
	commandsSince  uint64       // calls sent since then: each raises the counter once
	synced         bool         // has reported to this leader
	probing        bool
	probeNotBefore time.Time    // one answer is enough for a while
	deathReason    Reason       // set: dead, the verdict awaits its turn
	confirmedAt    time.Time    // when it was confirmed
	dead           bool         // the verdict is out
	watermark      HeartbeatSeq // set: the report that ends the hold
	holdExpires    time.Time    // a floor holds no longer than this
	lagging        bool         // a hold ran out on it; it may not cause another
	suspected      bool         // there are signs that it is gone: it is called before it falls silent
	unreachable    bool         // its reports arrive, but it does not hear us
}

// zone is what the machines of one zone have in common.
type zone struct {
	machineCount  int             // in the picture
	lastHeartbeat time.Time       // the last report of any machine that was in it
	silentSince   time.Time       // set while nobody of it is heard
	limiter       *verdictLimiter // of its verdicts; nil before the first
}
