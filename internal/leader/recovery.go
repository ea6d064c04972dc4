package leader

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// What the leader does about lost records: see docs/recovery.md. This file holds the
// phases; recovery_compare.go asks all who may know more, recovery_write.go writes what
// was found, recovery_adopt.go and recovery_strays.go deal with tasks that the records do
// not account for, and recovery_token.go with the token.

// RecoveryPhase is how far the recovery of lost records is.
type RecoveryPhase string

// The phases.
const (
	Whole     RecoveryPhase = "whole"     // nothing is missing, as far as is known
	Comparing RecoveryPhase = "comparing" // who may know more is being asked
	Restoring RecoveryPhase = "restoring" // what was found is being written
)

// recoveryPrefix holds what leaders leave for each other about lost records.
const recoveryPrefix = "recovery/"

// PeerKnowledge is what other controllers know beyond the records.
type PeerKnowledge interface {
	Peers() []string
	RequestLostJobs(ctx context.Context, node string, q peer.LostJobsRequest) (peer.LostJobsResponse, error)
}

// recoverer is what is known of lost records, and what is being done about them.
type recoverer struct {
	phase      RecoveryPhase
	shownPhase atomic.Value // the phase, for other goroutines
	listAnew   atomic.Bool  // the watch may have missed changes, if revisions were given out again
	putBack    atomic.Bool  // records may say less than users were told, for other goroutines
	round      uint64       // of comparison
	since      time.Time
	affectsLog bool // tasks may run that the assignment log does not name
	logDamaged bool // segments may be lost, and are being written again: a next leader must know
	fresh      bool // this node has just begun: others may know more
	ignorant   bool // this node knows less than some worker
	again      bool // more was noticed meanwhile
	evidence   map[detection.Kind]int
	history    eventLog

	knowledge recovery.View // of jobs of which more is known than the records say
	ticket    uint64        // of this node's own comparison
	ownAfter  string        // its lost jobs have been taken in up to this one
	ownDone   bool
	peers     map[string]*peerScan
	workersBy time.Time // by then every worker that has tasks has reported

	ranks      map[string]writeRank // of unwritten
	plainAfter string               // jobs that are over have been queued up to this one
	unwritten  []string             // jobs to be written back
	recording  bool                 // a transaction is under way
	recordAt   time.Time
	marked     bool      // the status key is there
	unmark     bool      // and is to be removed
	logSize    int       // segments, by the key that says how many there are
	logSizeAt  time.Time // when that key was last written
	restored   map[recovery.Outcome]int

	held       map[string]*heldJob
	adopting   map[*job]bool
	strays     map[string]*stray
	strayReads int
}

func newRecoverer() recoverer {
	return recoverer{
		phase: Whole, evidence: map[detection.Kind]int{}, knowledge: recovery.View{}, peers: map[string]*peerScan{},
		restored: map[recovery.Outcome]int{}, ranks: map[string]writeRank{}, held: map[string]*heldJob{}, adopting: map[*job]bool{}, strays: map[string]*stray{},
	}
}

// suspect takes in what shows that records are lost.
func (l *Leader) suspect(e detection.Loss, now time.Time) {
	if l.evidence[e.Kind]++; l.evidence[e.Kind] == 1 || l.phase == Whole {
		slog.Error("records may be lost", "term", l.token, "evidence", e.String())
	}
	l.history.add(now, "evidence", e.String())
	switch e.Kind {
	case detection.RevisionBack, detection.RecordOlder, detection.Earlier, detection.ReportedByPeer: // the last two may be that
		l.putBack.Store(true)
	}
	if e.Kind.AffectsLog() && !l.logDamaged {
		l.logDamaged = true
		l.marked = false // the status has to say so
	}
	if e.Kind.AffectsLog() && l.phase != Comparing {
		// What this leader holds is the truth: it is written once more, all of it.
		l.log.rewrite = len(l.log.segments)
		l.raiseToken = true
	}
	switch {
	case e.Kind == detection.TaskUnknown || e.Kind == detection.TokenBack:
		l.distrustRecords(now)
	case l.fresh || e.Kind.AffectsLog() || e.Kind == detection.ReportedByPeer:
		l.expectAllTasks(now)
	}
	if l.phase != Whole {
		l.again = l.again || l.phase == Restoring
		return
	}
	l.compare(now)
}

// distrustRecords takes in that a worker knows more than this node: nor can it tell which
// jobs are new. Until every lease from before this term has ended, it places nothing, and
// adopts what workers show.
func (l *Leader) distrustRecords(now time.Time) {
	if l.ignorant {
		return
	}
	l.ignorant = true
	// Tokens may have been given out before this one that were this one as well, and with
	// them the numbers of attempts.
	if l.term.Token > l.tokenFloor {
		l.tokenFloor, l.raiseToken = l.token, true
	}
	l.expectAllTasks(now)
}

// expectAllTasks takes in, early in a term, that the records that this leader began with may
// have lacked some: each job may have tasks that are not known. Later in a term every worker
// has reported, and what this leader knows is the truth.
func (l *Leader) expectAllTasks(now time.Time) {
	until := l.term.Since.Add(l.Derived.LeaseOver)
	if !now.Before(until) || now.Before(l.workersBy) {
		return
	}
	l.affectsLog, l.workersBy = true, until
	for _, j := range l.jobs {
		if !j.over() {
			j.adoptUntil = until
			l.adopting[j] = true
		}
	}
}

// enter begins a phase.
func (l *Leader) enter(phase RecoveryPhase) {
	l.phase = phase
	l.shownPhase.Store(phase)
}

// compare begins a round of comparison.
func (l *Leader) compare(now time.Time) {
	l.enter(Comparing)
	l.since, l.again, l.unmark = now, false, false
	l.round++
	l.Cache.Suspect(now.Add(l.Derived.Cancel))
	l.ticket = l.Cache.Verify()
	l.listAnew.Store(true)
	l.ownAfter, l.ownDone = "", false
	clear(l.peers)
	l.history.add(now, "comparing", fmt.Sprintf("round %d", l.round))
}

// recoverRecords does what is due about lost records.
func (l *Leader) recoverRecords(ctx context.Context, now time.Time) {
	l.endAdoptions(now)
	if l.tickGroup == 0 {
		l.runUncertain(now)
	}
	switch l.phase {
	case Comparing:
		l.writeStatus(ctx, now)
		l.compareOwn()
		l.comparePeers(ctx, now)
		if l.compared(now) {
			l.decideAll(now)
		}
	case Restoring:
		if l.leastRank() > rankPutBack && !l.recording {
			l.putBack.Store(false)
		}
		if len(l.unwritten) == 0 && !l.recording && !l.refill() {
			l.recovered(now)
		}
	case Whole:
		l.endSettling(now)
		l.removeStatus(ctx, now)
		l.writeLogSize(ctx, now)
	}
	l.writeBack(ctx, now)
}

// compared tells whether all have been heard.
func (l *Leader) compared(now time.Time) bool {
	return l.marked && l.ownDone && l.allPeersHeard(now) && !now.Before(l.workersBy)
}

// decideAll ends the comparison: what may be written back is queued.
func (l *Leader) decideAll(now time.Time) {
	l.enter(Restoring)
	l.affectsLog, l.ignorant = false, false
	for id, k := range l.knowledge {
		l.Cache.Learn(id, told(k), k.TaskCount())
	}
	l.Cache.Compared()
	l.queueDecided()
	slog.Info("records compared", "term", l.token, "took", now.Sub(l.since).Round(time.Millisecond).String(), "lost", l.Cache.LostJobs(), "to decide", len(l.knowledge))
	l.history.add(now, "compared", fmt.Sprintf("%d jobs lost", l.Cache.LostJobs()))
}

// told is the state of a lost job that users may be told: an end that is concluded from its
// tasks is one only when it is written, as the job may be cancelled until then.
func told(k recovery.Knowledge) string {
	switch d := recovery.Decide(k, true); d.Rule {
	case recovery.RuleDone, recovery.RuleCancelled, recovery.RuleContradiction:
		return d.State
	}
	return jobs.Queued
}

// recovered ends the recovery, or begins another round if more was noticed meanwhile.
func (l *Leader) recovered(now time.Time) {
	if l.again {
		l.compare(now)
		return
	}
	l.enter(Whole)
	l.unmark, l.logDamaged = true, false
	l.putBack.Store(false)
	clear(l.knowledge)
	clear(l.strays)
	slog.Info("records whole", "term", l.token, "took", now.Sub(l.since).Round(time.Millisecond).String(), "held", len(l.held))
	l.history.add(now, "whole", fmt.Sprintf("%d jobs held", len(l.held)))
}

// RecoveryPhase is how far the recovery of the leader on duty here is; Whole if there is none.
func (g *Gate) RecoveryPhase() RecoveryPhase {
	if l := g.on.Load(); l != nil {
		if phase, entered := l.shownPhase.Load().(RecoveryPhase); entered {
			return phase
		}
	}
	return Whole
}

// PutBack tells whether records may say less than users were told, as far as the leader on
// duty here knows.
func (g *Gate) PutBack() bool {
	l := g.on.Load()
	return l != nil && l.putBack.Load()
}

// Noticed hands evidence of a loss to the leader on duty, and tells whether there is one.
func (g *Gate) Noticed(e detection.Loss) bool {
	l := g.on.Load()
	if l == nil {
		return false
	}
	select {
	case l.events <- func(now time.Time) { l.suspect(e, now) }:
	case <-l.quit:
	}
	return true
}
