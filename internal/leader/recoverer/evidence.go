package recoverer

import (
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// evidence is the evidence of lost records reported in this term, and what follows from it for
// this controller's own knowledge.
type evidence struct {
	counts             map[detection.Kind]int
	logDamaged         bool // segments may be lost and are rewritten; the next leader must know
	startupUnconfirmed bool // this controller has just started, and others may know more
	workerKnowsMore    bool // some worker knows more than this controller
	anotherRoundDue    bool // more evidence was reported while restoring
}

// count counts one piece of evidence and reports whether it is the first of its kind.
func (e *evidence) count(kind detection.Kind) (first bool) {
	e.counts[kind]++
	return e.counts[kind] == 1
}

// mayBeRollback reports whether evidence of a kind may mean that the store was rolled back, which
// makes records older than what users were told.
func mayBeRollback(kind detection.Kind) bool {
	switch kind {
	case detection.RevisionRolledBack, detection.RecordOlder:
		return true
	case detection.NoticedByPredecessor, detection.ReportedByPeer: // may be about a rollback
		return true
	}
	return false
}

// maxStartupWait returns how long a leader whose controller has just started places nothing, while
// it finds out whether other controllers know more than the records say. Responses arrive within
// milliseconds; controllers of an earlier version never respond.
func maxStartupWait(derived settings.Derived) time.Duration {
	return 2 * derived.Election.RenewInterval
}

// StartTerm records whether this controller has confirmed that it knows all jobs. It must be
// called before any record is read.
func (r *Recoverer) StartTerm() {
	r.evidence.startupUnconfirmed = !r.cfg.Cache.Readiness.ProvenCurrent()
}

// awaitsStartupCheck reports whether this controller is still finding out whether others know
// more than the records say.
func (r *Recoverer) awaitsStartupCheck(now time.Time) bool {
	return r.evidence.startupUnconfirmed && !r.cfg.Cache.Readiness.ProvenCurrent() && now.Sub(r.cfg.Term.Since) < maxStartupWait(r.cfg.Derived)
}

// endStartupWait ends the startup wait once it has expired or the cache is proven current, and
// treats the cache as complete: there is no other leader that could know more.
func (r *Recoverer) endStartupWait(now time.Time) {
	if r.evidence.startupUnconfirmed && !r.awaitsStartupCheck(now) {
		r.evidence.startupUnconfirmed = false
		r.cfg.Cache.Readiness.AssumeComplete()
		r.cfg.Leader.RequestPlan()
	}
}
