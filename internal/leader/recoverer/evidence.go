package recoverer

import (
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// evidence is what has been noticed in this term, and what it says of this node's own knowledge.
type evidence struct {
	counts             map[detection.Kind]int
	logDamaged         bool // segments may be lost, and are being written again: a next leader must know
	startupUnconfirmed bool // this node has just begun, and other nodes may know more
	workersAhead       bool // this node knows less than some worker
	anotherRoundDue    bool // more was noticed while restoring
}

// count counts evidence of a kind, and tells whether it is the first.
func (e *evidence) count(kind detection.Kind) (first bool) {
	e.counts[kind]++
	return e.counts[kind] == 1
}

// mayBeRollback tells whether evidence may be that of a store that was rolled back: then records
// say less than users were told.
func mayBeRollback(kind detection.Kind) bool {
	switch kind {
	case detection.RevisionBack, detection.RecordOlder:
		return true
	case detection.NoticedByPredecessor, detection.ReportedByPeer: // what these noticed may have been a rollback
		return true
	}
	return false
}

// maxStartupWait is how long a leader whose node has just begun places nothing, while the node
// finds out whether the others know more than the records say. Answers come within
// milliseconds; those of an earlier version do not come.
func maxStartupWait(derived settings.Derived) time.Duration {
	return 2 * derived.Election.RenewInterval
}

// BeginTerm notes whether this node has confirmed that it knows all jobs. It is called before
// any record is read.
func (r *Recoverer) BeginTerm() {
	r.evidence.startupUnconfirmed = !r.cfg.Cache.Readiness.ProvenCurrent()
}

// awaitsStartupCheck tells whether this node still finds out whether the others know more.
func (r *Recoverer) awaitsStartupCheck(now time.Time) bool {
	return r.evidence.startupUnconfirmed && !r.cfg.Cache.Readiness.ProvenCurrent() && now.Sub(r.cfg.Term.Since) < maxStartupWait(r.cfg.Derived)
}

// endStartupWait ends that wait: nobody leads who could know more.
func (r *Recoverer) endStartupWait(now time.Time) {
	if r.evidence.startupUnconfirmed && !r.awaitsStartupCheck(now) {
		r.evidence.startupUnconfirmed = false
		r.cfg.Cache.Readiness.AssumeComplete()
		r.cfg.Leader.RequestPlan()
	}
}
