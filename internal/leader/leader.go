// Package leader is the leader: one goroutine owns what is known of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/leader/scaler"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Deps is what a leader works with.
type Deps struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *kvstore.Client
	Cloud    *cloud.Client
	Workers  *workers.Client
	IsLeader func() bool // holds the term at this moment
	// PromisesRequestedAt is when the promises were asked for that keep the term in an outage;
	// they came from all other nodes.
	PromisesRequestedAt func() time.Time
	TokenRaised         func(token uint64) // told of a token raised within the term
	Broadcast           func(map[string]jobs.Counts, []peer.JobChange)
	MachineTypes        func() []jobs.MachineType
	Counts              *Counts
	Cache               *jobcache.Cache // what this node knows of all jobs
	Peers               recoverer.PeerClient
	Node                string
}

// Leader is one term's work. One goroutine, in run, owns all of it but the channels and what is
// atomic; Gate hands it what others ask for.
type Leader struct {
	Deps
	term    election.Term
	state   *cluster.State   // jobs, machines and assignments
	catalog *cluster.Catalog // machine types

	heartbeats chan heartbeatRequest
	events     chan func(now time.Time) // outcomes of I/O, applied by the event loop
	quit       chan struct{}            // closed when the event loop has ended

	view       recordView
	fencing    fencing
	detector   *liveness.Detector
	failover   *reconcile.Failover
	log        *assignmentlog.Log
	writer     recordWriter
	planner    *planner.Planner
	runTimes   *runtimes.Estimator
	dispatcher dispatcher
	scaler     *scaler.Scaler
	recovery   *recoverer.Recoverer

	lastAttempt     uint64    // number of the newest assignment
	nextLeaseExpiry time.Time // no worker's lease ends before
	tickGroup       int       // of the ticks in a control interval
	broadcast       broadcast
	mayResign       bool
	resign          bool
}

// recordView is as of when the leader knows the records of jobs.
type recordView struct {
	asOf           time.Time         // all that users were told by then is in the jobs
	seenRevision   atomic.Uint64     // all changes up to this revision are
	cancelledLater map[string]uint64 // jobs known to be cancelled at a revision that is not seen yet
}

// fencing is the fencing token. It is raised within the term so that commands whose outcome is
// unknown are refused from then on.
type fencing struct {
	token                uint64
	revision             uint64 // of the token's key
	raisePending         bool
	raiseAbove           uint64 // the next token is above it, as a worker or the log shows it
	raisedAt             time.Time
	acknowledgementsHeld bool                      // an ended task waits for a higher token to be cleared
	inDoubtMachines      map[*cluster.Machine]bool // a superset of those with Commands.InDoubtSince
}

// recordWriter is what waits to be written besides the log, and the transaction under way.
type recordWriter struct {
	completedJobs    []*cluster.Job // whose records are to be written as done
	inFlight         bool
	storeUnavailable bool // the last transaction was not executed, as far as is known
	startedAt        time.Time
}

// dispatcher is the commands and probes to workers.
type dispatcher struct {
	queue            []*cluster.Machine // have something to be told at once
	unresponsive     []*cluster.Machine // the same, but they may not answer
	commandsInFlight int
	probesInFlight   int
}

// broadcast is what other controllers are told from time to time.
type broadcast struct {
	sentAt  time.Time
	changes []peer.JobChange // of records, since then
}

// newLeader makes a leader that knows of nothing yet.
func newLeader(d Deps, t election.Term) *Leader {
	l := &Leader{
		Deps: d, term: t, state: cluster.NewState(),
		catalog:    &cluster.Catalog{Types: d.MachineTypes, DefaultBootTime: d.Derived.Workers.Lease},
		heartbeats: make(chan heartbeatRequest, heartbeatQueue),
		events:     make(chan func(time.Time), eventQueue),
		quit:       make(chan struct{}),
		view:       recordView{cancelledLater: map[string]uint64{}},
		fencing: fencing{
			token: t.FencingToken, revision: t.TokenRevision, inDoubtMachines: map[*cluster.Machine]bool{},
		},
		failover: reconcile.NewFailover(t.Since, d.Derived.Detection.HeartbeatOverdue),
		log:      assignmentlog.New(logConfig(d.Derived)),
		runTimes: runtimes.NewEstimator(), lastAttempt: t.FencingToken << attemptBits,
	}
	l.planner = planner.New(plannerConfig(d), l.state, l.runTimes, l.catalog.Type, planConstraints{l})
	l.scaler = newScaler(l)
	l.recovery = recoverer.New(l.recoveryConfig())
	l.detector = liveness.New(detectorConfig(d.Derived, l.productionTasks))
	return l
}

// How many heartbeats and outcomes wait for the event loop before their senders do.
const (
	heartbeatQueue = 16
	eventQueue     = 64
)

// detectorConfig is what the failure detector goes by.
func detectorConfig(derived settings.Derived, importance func(machine string) int) liveness.Config {
	return liveness.Config{
		SuspectAfter: derived.Detection.SuspectAfter, LeaseExpiry: derived.Workers.LeaseExpiry,
		HoldTimeout: derived.Detection.MaxHold, VerdictInterval: derived.Detection.VerdictInterval,
		MachinesPerVerdict: smallZone, HeartbeatOverdue: derived.Detection.HeartbeatOverdue,
		GroupSuspectAfter: derived.Detection.ZoneSilenceLimit, Importance: importance,
	}
}

// logConfig is the limits of the assignment log.
func logConfig(derived settings.Derived) assignmentlog.Config {
	return assignmentlog.Config{ChunkTasks: derived.Store.ChunkTasks, MaxOps: derived.Store.TxnOps, ValueBytes: derived.Store.ValueBytes}
}

// plannerConfig is what plans go by.
func plannerConfig(d Deps) planner.Config {
	return planner.Config{
		Teams: d.Settings.Deployment.Teams, Objectives: d.Settings.Deployment.Objectives,
		ControlInterval: d.Derived.Leader.ControlInterval, StarvationLimit: d.Derived.Leader.StarvationLimit,
		CountedRunTime: d.Derived.Leader.CountedRunTime,
	}
}

// attemptBits is how many attempts a token has numbers for: no other term uses them.
const attemptBits = 24

// smallZone is the size of a zone that the operators' gap between verdicts is for.
const smallZone = 20

// post hands an outcome to the leader's goroutine.
func (l *Leader) post(ctx context.Context, f func(now time.Time)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

func (l *Leader) run(ctx context.Context) {
	tick := time.NewTicker(l.Derived.Leader.ControlInterval / cluster.TickGroups)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			f(time.Now())
		case in := <-l.heartbeats:
			in.reply <- l.answerHeartbeat(in.heartbeat, time.Now())
		case <-tick.C:
			l.tick(ctx, time.Now())
		}
		// Take in what else has come before deciding once for all of it.
		for more := true; more; {
			select {
			case f := <-l.events:
				f(time.Now())
			case in := <-l.heartbeats:
				in.reply <- l.answerHeartbeat(in.heartbeat, time.Now())
			default:
				more = false
			}
		}
		if ctx.Err() != nil || l.resign {
			return
		}
		now := time.Now()
		if l.planner.IsDue(now) && l.mayBegin(now) {
			l.plan(now)
		}
		l.writeNext(ctx, now)
		l.sendCommands(ctx, now)
	}
}

// mayBegin tells whether new work can be made durable. While it cannot, a plan
// would stop tasks to make room that nothing can be placed in.
func (l *Leader) mayBegin(now time.Time) bool {
	return !l.writer.storeUnavailable && now.Sub(l.PromisesRequestedAt()) > l.Derived.Election.LeaseDuration
}
