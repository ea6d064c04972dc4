package recoverer

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// Phase is how far the recovery of lost records is.
type Phase string

// The phases.
const (
	Whole     Phase = "whole"     // nothing is missing, as far as is known
	Comparing Phase = "comparing" // who may know more is being asked
	Restoring Phase = "restoring" // what was found is being written
)

// PeerClient asks the other controllers what they know beyond the records.
type PeerClient interface {
	// Peers returns the names of the other controllers.
	Peers() []string
	// RequestLostJobs asks one of them for a page of its lost jobs.
	RequestLostJobs(ctx context.Context, node string, question peer.LostJobsRequest) (peer.LostJobsResponse, error)
}

// Config is what a Recoverer works with. All of it is read on the event loop.
type Config struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Node     string        // this controller's name
	Term     election.Term // as it was won: its token may be raised since, see Leader.Tokens
	// AttemptBits is how many low bits of an attempt's number are not its fencing token.
	AttemptBits int

	Store *kvstore.Client
	Cache *jobcache.Cache
	Peers PeerClient
	// Valid tells whether the term is held at this moment.
	Valid func() bool
	// Post hands an outcome to the event loop. It gives up when the context or the loop ends,
	// and may be called by any goroutine.
	Post func(ctx context.Context, outcome func(now time.Time))
	// Leader is the other parts of the leader.
	Leader Leader

	// The leader's observed state.
	State         *cluster.State
	AssignmentLog func() *assignmentlog.Log
}

func (c *Config) token() uint64 { return c.Leader.Tokens().Current }

// Tokens is the leader's fencing tokens.
type Tokens struct {
	Current uint64 // the highest that this leader has given out
	OfTerm  uint64 // heartbeats with a lower one are of earlier terms
	Floor   uint64 // the next token will be above it
}

// Leader is what a recovery needs of the other parts of the leader. All methods are called on
// the event loop and return at once.
type Leader interface {
	Tokens() Tokens
	// RequestTokenRaise has the fencing token raised by the next transaction.
	RequestTokenRaise()
	// RaiseTokenAbove does the same, to a token above the given one.
	RaiseTokenAbove(floor uint64)
	// Resign ends the term.
	Resign()

	// NextAttempt gives out the number of a new attempt.
	NextAttempt() uint64
	// ReserveAttempts has all numbers given out later be above the given one.
	ReserveAttempts(upTo uint64)

	// CancelJob takes in that a job was cancelled, at a revision of its record.
	CancelJob(job *cluster.Job, revision uint64)
	// CompleteElsewhere takes in that a job is done by what others know.
	CompleteElsewhere(job *cluster.Job)
	// JobChanged takes in a job's record, as if the watch had shown it.
	JobChanged(change kvstore.Change, now time.Time)
	// QueueJob has a job's pending tasks planned.
	QueueJob(job *cluster.Job)
	// StopGang has all tasks of a gang stop at once, without time to save.
	StopGang(job *cluster.Job)
	// CountAssignment makes an adopted assignment count as used capacity and quota.
	CountAssignment(a *cluster.Assignment)
	// RequestPlan has the queue planned anew.
	RequestPlan()
}

// Recoverer recovers lost records for one term. But for Phase, RolledBack and TakeRelist, its
// methods may be called by the event loop only.
type Recoverer struct {
	cfg    *Config
	phase  Phase
	shared sharedState

	evidence   evidence
	events     eventLog
	knowledge  knowledge
	comparison comparison
	commits    committer
	keys       controlKeys
	writeBack  writeBack
	held       heldJobs
	adoption   adoption
	orphans    orphanedTasks
	tokens     tokenCheck
}

// sharedState is what other goroutines may read.
type sharedState struct {
	phase      atomic.Value // a Phase
	relist     atomic.Bool  // the watch may have missed changes, if revisions were given out again
	rolledBack atomic.Bool  // records may say less than users were told
}

// New makes a Recoverer for a term in which nothing was noticed yet.
func New(config Config) *Recoverer {
	r := &Recoverer{cfg: &config, phase: Whole}
	r.shared.phase.Store(Whole)
	r.evidence.counts = map[detection.Kind]int{}
	r.commits.cfg = r.cfg
	r.tokens = tokenCheck{cfg: r.cfg, reportLoss: r.ReportLoss}
	r.orphans = orphanedTasks{
		cfg: r.cfg, knowledge: &r.knowledge, reportLoss: r.ReportLoss, byJob: map[string]*orphanedJob{},
	}
	r.held = heldJobs{cfg: r.cfg, orphans: &r.orphans, byID: map[string]*heldJob{}}
	r.knowledge = knowledge{cfg: r.cfg, held: &r.held, lost: recovery.KnowledgeByJob{}}
	r.adoption = adoption{cfg: r.cfg, events: &r.events, jobs: map[*cluster.Job]bool{}}
	r.comparison = comparison{
		cfg: r.cfg, events: &r.events, knowledge: &r.knowledge, round: config.Term.FencingToken << roundBits,
		peers: map[string]*peerScan{},
	}
	r.keys = controlKeys{cfg: r.cfg, commits: &r.commits}
	r.writeBack = writeBack{
		cfg: r.cfg, events: &r.events, commits: &r.commits, knowledge: &r.knowledge, held: &r.held,
		ranks: map[string]writeRank{}, written: map[recovery.Outcome]int{},
	}
	return r
}

// Phase is how far the recovery is. It may be called by any goroutine.
func (r *Recoverer) Phase() Phase { return r.shared.phase.Load().(Phase) }

// RolledBack tells whether records may say less than users were told, as far as this leader
// knows. It may be called by any goroutine.
func (r *Recoverer) RolledBack() bool { return r.shared.rolledBack.Load() }

// TakeRelist tells, once after each beginning of a comparison, that the watch has to list all
// records: revisions may have been given out again, and changes missed. It may be called by any
// goroutine.
func (r *Recoverer) TakeRelist() bool { return r.shared.relist.Swap(false) }

// ReportLoss takes in evidence that records are lost. A comparison begins, unless one is under
// way.
func (r *Recoverer) ReportLoss(loss detection.Evidence, now time.Time) {
	if first := r.evidence.count(loss.Kind); first || r.phase == Whole {
		slog.Error("records may be lost", "term", r.cfg.token(), "evidence", loss.String())
	}
	r.events.add(now, "evidence", loss.String())
	if mayBeRollback(loss.Kind) {
		r.shared.rolledBack.Store(true)
	}
	if loss.Kind.AffectsLog() {
		r.protectAssignmentLog()
	}
	switch {
	case loss.Kind == detection.TaskUnknown || loss.Kind == detection.TokenBack:
		r.noteWorkersAhead(now)
	case r.evidence.startupUnconfirmed || loss.Kind.AffectsLog() || loss.Kind == detection.ReportedByPeer:
		r.adoption.expectTasksOfAllJobs(now)
	}
	if r.phase != Whole {
		r.evidence.anotherRoundDue = r.evidence.anotherRoundDue || r.phase == Restoring
		return
	}
	r.beginRound(now)
}

// protectAssignmentLog has the log written once more, all of it: segments may be lost, and what
// this leader holds is the truth. While comparing, it is not certain yet that it is.
func (r *Recoverer) protectAssignmentLog() {
	if !r.evidence.logDamaged {
		r.evidence.logDamaged = true
		r.keys.statusWritten = false // the status has to say so
	}
	if r.phase != Comparing {
		r.cfg.AssignmentLog().RewriteAll()
		r.cfg.Leader.RequestTokenRaise()
	}
}

// noteWorkersAhead takes in that a worker knows more than this node, which then cannot tell
// either which jobs are new. Until every lease from before this term has ended, it places
// nothing, and adopts what workers show.
func (r *Recoverer) noteWorkersAhead(now time.Time) {
	if r.evidence.workersAhead {
		return
	}
	r.evidence.workersAhead = true
	// An earlier leader may have had the same fencing token as this one, and given out the
	// same numbers of attempts.
	if tokens := r.cfg.Leader.Tokens(); tokens.OfTerm > tokens.Floor {
		r.cfg.Leader.RaiseTokenAbove(tokens.Current)
	}
	r.adoption.expectTasksOfAllJobs(now)
}

// enter begins a phase.
func (r *Recoverer) enter(phase Phase) {
	r.phase = phase
	r.shared.phase.Store(phase)
}

// beginRound begins a round of comparison.
func (r *Recoverer) beginRound(now time.Time) {
	r.enter(Comparing)
	r.evidence.anotherRoundDue, r.keys.statusRemovalDue = false, false
	r.comparison.begin(now)
	r.shared.relist.Store(true)
	r.events.add(now, "comparing", fmt.Sprintf("round %d", r.comparison.round))
}

// Advance does what is due in the present phase. The event loop calls it at each tick.
func (r *Recoverer) Advance(ctx context.Context, now time.Time) {
	switch r.phase {
	case Comparing:
		r.keys.writeStatus(ctx, now, r.adoption.logIncomplete || r.evidence.logDamaged)
		r.comparison.readOwnPage()
		r.comparison.askPeers(ctx, now)
		if r.allCompared(now) {
			r.endRound(now)
		}
	case Restoring:
		if r.writeBack.nextRank() > rankRolledBack && !r.commits.inFlight {
			r.shared.rolledBack.Store(false)
		}
		if len(r.writeBack.queue) == 0 && !r.commits.inFlight && !r.writeBack.queueOverJobs() {
			r.finish(now)
		}
	case Whole:
		r.endStartupWait(now)
		r.keys.removeStatus(ctx, now, len(r.adoption.jobs) > 0)
		r.keys.writeLogSize(ctx, now)
	}
	r.writeBack.writeNext(ctx, now)
}

// allCompared tells whether all who may know more have been heard.
func (r *Recoverer) allCompared(now time.Time) bool {
	return r.keys.statusWritten && r.comparison.ownDone && r.comparison.allPeersHeard() && !now.Before(r.adoption.allKnownBy)
}

// endRound ends a comparison: what may be written back is queued.
func (r *Recoverer) endRound(now time.Time) {
	r.enter(Restoring)
	r.adoption.logIncomplete, r.evidence.workersAhead = false, false
	for id, known := range r.knowledge.lost {
		r.cfg.Cache.AddLost(id, stateForUsers(known), known.TaskCount())
	}
	r.cfg.Cache.Readiness.MarkCompared()
	r.writeBack.queueLostJobs()
	slog.Info("records compared", "term", r.cfg.token(), "took", now.Sub(r.comparison.since).Round(time.Millisecond).String(), "lost", r.cfg.Cache.LostCount(), "to decide", len(r.knowledge.lost))
	r.events.add(now, "compared", fmt.Sprintf("%d jobs lost", r.cfg.Cache.LostCount()))
}

// finish ends the recovery, or begins another round if more was noticed meanwhile.
func (r *Recoverer) finish(now time.Time) {
	if r.evidence.anotherRoundDue {
		r.beginRound(now)
		return
	}
	r.enter(Whole)
	r.keys.statusRemovalDue, r.evidence.logDamaged = true, false
	r.shared.rolledBack.Store(false)
	clear(r.knowledge.lost)
	clear(r.orphans.byJob)
	slog.Info("recovery of lost records complete", "term", r.cfg.token(), "took", now.Sub(r.comparison.since).Round(time.Millisecond).String(), "held", len(r.held.byID))
	r.events.add(now, "whole", fmt.Sprintf("%d jobs held", len(r.held.byID)))
}
