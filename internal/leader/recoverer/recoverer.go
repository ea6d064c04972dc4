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

// Phase is the phase of the recovery of lost records.
type Phase string

// The phases.
const (
	NotRecovering Phase = "whole"     // no recovery is under way: no record is known to be missing
	Comparing     Phase = "comparing" // the controllers' caches are compared with the records
	Restoring     Phase = "restoring" // lost records are being written back
)

// PeerClient requests from the other controllers what they know beyond the records.
type PeerClient interface {
	// Peers returns the names of the other controllers.
	Peers() []string
	// RequestLostJobs requests one page of lost jobs from the named controller.
	RequestLostJobs(ctx context.Context, controller string, request peer.LostJobsRequest) (peer.LostJobsResponse, error)
}

// Config holds the settings and dependencies of a Recoverer. It is read only on the event loop.
type Config struct {
	Settings       *settings.Settings
	Derived        settings.Derived
	ControllerName string        // this controller's name
	Term           election.Term // as it was won; Leader.Tokens has the token if it was raised since
	// AttemptBits is the number of low bits of an attempt number that are not its fencing token.
	AttemptBits int

	Store *kvstore.Client
	Cache *jobcache.Cache
	Peers PeerClient
	// IsLeader reports whether this controller still holds the term.
	IsLeader func() bool
	// Post runs outcome on the event loop. It gives up when the context or the loop ends. It
	// may be called from any goroutine.
	Post func(ctx context.Context, outcome func(now time.Time))
	// Leader gives access to the other parts of the leader.
	Leader Leader

	// State and AssignmentLog are the state that the leader has observed.
	State         *cluster.State
	AssignmentLog func() *assignmentlog.Log
}

func (c *Config) token() uint64 { return c.Leader.Tokens().Current }

// Tokens holds the leader's fencing tokens.
type Tokens struct {
	Current   uint64 // highest token that this leader has issued
	TermToken uint64 // a heartbeat with a lower token belongs to an earlier term
	Floor     uint64 // the next token will be above this one
}

// Leader is what a recovery needs from the other parts of the leader. All methods are called on
// the event loop and must not block.
type Leader interface {
	Tokens() Tokens
	// RequestTokenRaise requests that the next transaction raise the fencing token.
	RequestTokenRaise()
	// RaiseTokenAbove requests that the next transaction raise the fencing token above floor.
	RaiseTokenAbove(floor uint64)
	// Resign ends the term.
	Resign()

	// NextAttempt allocates the number of a new attempt.
	NextAttempt() uint64
	// ReserveAttempts makes all attempt numbers allocated later exceed upTo.
	ReserveAttempts(upTo uint64)

	// CancelJob marks a job as cancelled at the given revision of its record.
	CancelJob(job *cluster.Job, revision uint64)
	// CompleteElsewhere marks a job as done because another source knows that it is.
	CompleteElsewhere(job *cluster.Job)
	// JobChanged applies a change of a job's record as if the watch had delivered it.
	JobChanged(change kvstore.Change, now time.Time)
	// QueueJob queues a job's pending tasks for placement.
	QueueJob(job *cluster.Job)
	// StopGang stops all tasks of a gang at once, without time to write a checkpoint.
	StopGang(job *cluster.Job)
	// CountAssignment counts an adopted assignment as used capacity and quota.
	CountAssignment(a *cluster.Assignment)
	// RequestPlan requests a new planning pass over the queue.
	RequestPlan()
}

// Recoverer recovers lost records for one term. Except for Phase, RolledBack and TakeRelistRequest, its
// methods may be called only on the event loop.
type Recoverer struct {
	cfg    *Config
	phase  Phase
	shared sharedState

	evidence    evidence
	events      eventLog
	knowledge   knowledge
	comparison  comparison
	committer   committer
	controlKeys controlKeys
	writeBack   writeBack
	held        heldJobs
	adoption    adoption
	orphans     orphanedTasks
	tokens      tokenCheck
}

// sharedState is the part of a Recoverer that other goroutines may read.
type sharedState struct {
	phase      atomic.Value // a Phase
	relist     atomic.Bool  // the watch may have missed changes because revisions were reused
	rolledBack atomic.Bool  // records may be older than what users were told
}

// New returns a Recoverer for a term in which no loss has been reported yet.
func New(config Config) *Recoverer {
	r := &Recoverer{cfg: &config, phase: NotRecovering}
	r.shared.phase.Store(NotRecovering)
	r.evidence.counts = map[detection.Kind]int{}
	r.committer.cfg = r.cfg
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
	r.controlKeys = controlKeys{cfg: r.cfg, committer: &r.committer}
	r.writeBack = writeBack{
		cfg: r.cfg, events: &r.events, committer: &r.committer, knowledge: &r.knowledge, held: &r.held,
		ranks: map[string]writeRank{}, written: map[recovery.Outcome]int{},
	}
	return r
}

// Phase returns the phase of the recovery. It may be called from any goroutine.
func (r *Recoverer) Phase() Phase { return r.shared.phase.Load().(Phase) }

// RolledBack reports whether this leader has evidence that records may be older than what users
// were told. It may be called from any goroutine.
func (r *Recoverer) RolledBack() bool { return r.shared.rolledBack.Load() }

// TakeRelistRequest reports whether the watch has to list all records. It returns true once after
// each start of a comparison round. A store that was rolled back may reuse revisions, which makes a
// watch miss changes. It may be called from any goroutine.
func (r *Recoverer) TakeRelistRequest() bool { return r.shared.relist.Swap(false) }

// ReportLoss records evidence that records are lost. It starts a comparison round unless a
// recovery is under way. Evidence reported while restoring makes another round follow.
func (r *Recoverer) ReportLoss(loss detection.Evidence, now time.Time) {
	if first := r.evidence.count(loss.Kind); first || r.phase == NotRecovering {
		slog.Error("records may be lost", "term", r.cfg.token(), "evidence", loss.String())
	}
	r.events.add(now, "evidence", loss.String())
	if mayBeRollback(loss.Kind) {
		r.shared.rolledBack.Store(true)
	}
	if loss.Kind.AffectsAssignmentLog() {
		r.protectAssignmentLog()
	}
	switch {
	case loss.Kind == detection.TaskUnknown || loss.Kind == detection.TokenRolledBack:
		r.noteWorkerKnowsMore(now)
	case r.evidence.startupUnconfirmed || loss.Kind.AffectsAssignmentLog() || loss.Kind == detection.ReportedByPeer:
		r.adoption.expectTasksOfAllJobs(now)
	}
	if r.phase != NotRecovering {
		r.evidence.anotherRoundDue = r.evidence.anotherRoundDue || r.phase == Restoring
		return
	}
	r.startRound(now)
}

// protectAssignmentLog schedules a rewrite of the whole assignment log, because segments may be
// lost and this leader's copy is authoritative. During a comparison that is not certain yet, so
// the log is not rewritten then.
func (r *Recoverer) protectAssignmentLog() {
	if !r.evidence.logDamaged {
		r.evidence.logDamaged = true
		r.controlKeys.statusWritten = false // the stored status has to say that the log is damaged
	}
	if r.phase != Comparing {
		r.cfg.AssignmentLog().RewriteAll()
		r.cfg.Leader.RequestTokenRaise()
	}
}

// noteWorkerKnowsMore records that a worker knows more than this controller, which therefore
// cannot tell which jobs are new either. Until every lease from before this term has expired, the
// leader places nothing and adopts the tasks that workers report.
func (r *Recoverer) noteWorkerKnowsMore(now time.Time) {
	if r.evidence.workerKnowsMore {
		return
	}
	r.evidence.workerKnowsMore = true
	// An earlier leader may have had the same fencing token as this one and have allocated
	// the same attempt numbers.
	if tokens := r.cfg.Leader.Tokens(); tokens.TermToken > tokens.Floor {
		r.cfg.Leader.RaiseTokenAbove(tokens.Current)
	}
	r.adoption.expectTasksOfAllJobs(now)
}

// setPhase switches to a phase and publishes it to other goroutines.
func (r *Recoverer) setPhase(phase Phase) {
	r.phase = phase
	r.shared.phase.Store(phase)
}

// startRound starts a round of comparison.
func (r *Recoverer) startRound(now time.Time) {
	r.setPhase(Comparing)
	r.evidence.anotherRoundDue, r.controlKeys.statusRemovalDue = false, false
	r.comparison.startRound(now)
	r.shared.relist.Store(true)
	r.events.add(now, "comparing", fmt.Sprintf("round %d", r.comparison.round))
}

// Advance performs the work that is due in the current phase. The event loop calls it at each
// tick.
func (r *Recoverer) Advance(ctx context.Context, now time.Time) {
	switch r.phase {
	case Comparing:
		r.controlKeys.writeStatus(ctx, now, r.adoption.logIncomplete || r.evidence.logDamaged)
		r.comparison.readCachePage()
		r.comparison.queryPeers(ctx, now)
		if r.allCompared(now) {
			r.endRound(now)
		}
	case Restoring:
		if r.writeBack.nextRank() > rankRolledBack && !r.committer.inFlight {
			r.shared.rolledBack.Store(false)
		}
		if len(r.writeBack.queue) == 0 && !r.committer.inFlight && !r.writeBack.queueFinishedJobs() {
			r.finish(now)
		}
	case NotRecovering:
		r.endStartupWait(now)
		r.controlKeys.removeStatus(ctx, now, len(r.adoption.jobs) > 0)
		r.controlKeys.writeLogSize(ctx, now)
	}
	r.writeBack.writeNext(ctx, now)
}

// allCompared reports whether the comparison round is complete: the stored status is durable, this
// controller's cache has been read, each peer has sent all its pages or has timed out, and every
// worker that has tasks must have reported.
func (r *Recoverer) allCompared(now time.Time) bool {
	return r.controlKeys.statusWritten && r.comparison.cacheDone && r.comparison.allPeersDone() && !now.Before(r.adoption.allTasksKnownBy)
}

// endRound ends a comparison round and queues the lost jobs to be written back.
func (r *Recoverer) endRound(now time.Time) {
	r.setPhase(Restoring)
	r.adoption.logIncomplete, r.evidence.workerKnowsMore = false, false
	for id, known := range r.knowledge.lost {
		r.cfg.Cache.AddLost(id, stateForUsers(known), known.TaskCount())
	}
	r.cfg.Cache.Readiness.MarkCompared()
	r.writeBack.queueLostJobs()
	slog.Info("records compared", "term", r.cfg.token(), "took", now.Sub(r.comparison.startedAt).Round(time.Millisecond).String(), "lost", r.cfg.Cache.LostCount(), "to decide", len(r.knowledge.lost))
	r.events.add(now, "compared", fmt.Sprintf("%d jobs lost", r.cfg.Cache.LostCount()))
}

// finish ends the recovery, or starts another round if more evidence was reported meanwhile.
func (r *Recoverer) finish(now time.Time) {
	if r.evidence.anotherRoundDue {
		r.startRound(now)
		return
	}
	r.setPhase(NotRecovering)
	r.controlKeys.statusRemovalDue, r.evidence.logDamaged = true, false
	r.shared.rolledBack.Store(false)
	clear(r.knowledge.lost)
	clear(r.orphans.byJob)
	slog.Info("recovery of lost records complete", "term", r.cfg.token(), "took", now.Sub(r.comparison.startedAt).Round(time.Millisecond).String(), "held", len(r.held.byID))
	r.events.add(now, "whole", fmt.Sprintf("%d jobs held", len(r.held.byID)))
}
