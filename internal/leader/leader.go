// Package leader is the leader: one goroutine owns what is known of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/runtimes"
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
	Cloud    *autoscaler.Client
	Workers  *workers.Client
	IsLeader func() bool // holds the term at this moment
	// PromisesRequestedAt is when the promises were asked for that keep the term in an outage;
	// they came from all other nodes.
	PromisesRequestedAt func() time.Time
	TokenRaised         func(token uint64) // told of a token raised within the term
	Broadcast           func(map[string]jobs.Counts, []peer.JobChange)
	MachineTypes        func() []jobs.MachineType
	Counts              *Counts
	Cache               *jobs.Cache // what this node knows of all jobs
	Peers               PeerKnowledge
	Node                string
}

// Leader is one term's work.
type Leader struct {
	Deps
	term     election.Term
	failover *reconcile.Failover

	heartbeats chan heartbeatRequest
	events     chan func(now time.Time) // outcomes of I/O, applied by the one goroutine
	quit       chan struct{}

	view
	tokens
	writer
	planner  *planner.Planner
	runTimes *runtimes.Estimator
	attempts uint64 // the number given out last
	dispatcher
	fleetManager
	recoverer

	tickGroup          int // of the ticks in a control interval
	publishedAt        time.Time
	unpublishedChanges []peer.JobChange // of records, since then
	mayResign          bool
	resign             bool
}

// view is what the leader knows of jobs and machines, and as of when.
type view struct {
	state           *cluster.State
	detector        *liveness.Detector
	wishesAsOf      time.Time         // all that users were told by then is in the jobs
	seenRevision    atomic.Uint64     // as are all changes up to this revision
	cancelledLater  map[string]uint64 // jobs known to be cancelled at a later revision
	nextLeaseExpiry time.Time         // no worker's lease ends before
}

// tokens is the fencing token, as raised within the term to end doubts.
type tokens struct {
	token                uint64
	tokenRevision        uint64
	raisePending         bool
	tokenAbove           uint64 // the next token is above it: a worker, or the log, shows it
	checkingHolder       bool
	raisedAt             time.Time
	acknowledgementsHeld bool                      // an end is not cleared, for want of a higher token
	inDoubtMachines      map[*cluster.Machine]bool // with a doubtSince, and some that had one
}

// writer is what waits to be made durable, and the transaction under way.
type writer struct {
	log                 *assignmentlog.Log
	completedJobs       []*cluster.Job // whose records are to be written as done
	transactionInFlight bool
	storeUnavailable    bool // the last transaction was not executed, as far as is known
	flushedAt           time.Time
}

// dispatcher is the orders and calls to workers.
type dispatcher struct {
	notifyQueue       []*cluster.Machine // have something to be told at once
	unresponsiveQueue []*cluster.Machine // the same, but they may not answer
	commandsInFlight  int
	probesInFlight    int
}

// fleetManager is the renting and returning of machines.
type fleetManager struct {
	fleetAt         time.Time
	fleetDuration   time.Duration
	rentalsMade     int
	rentalsInFlight int
	returns         []string // machines to be given back
	returning       bool     // a request is on its way
	renting         map[autoscaler.MachinePool]int
	refused         map[autoscaler.MachinePool]refusal
	listSyncAt      time.Time
	arrivalRate     float64 // batch work that arrives, in CPUs
	arrivalRateAt   time.Time
	returned        map[string]time.Time // given back, though perhaps still listed
}

// newLeader makes a leader that knows of nothing yet.
func newLeader(d Deps, t election.Term) *Leader {
	l := &Leader{
		Deps: d, term: t, failover: reconcile.NewFailover(t.Since, d.Derived.Detection.HeartbeatOverdue),
		heartbeats: make(chan heartbeatRequest, 16), events: make(chan func(time.Time), 64), quit: make(chan struct{}),
		view:     view{state: cluster.NewState(), cancelledLater: map[string]uint64{}},
		tokens:   tokens{token: t.FencingToken, tokenRevision: t.TokenRevision, inDoubtMachines: map[*cluster.Machine]bool{}},
		writer:   writer{log: assignmentlog.New(logConfig(d.Derived))},
		runTimes: runtimes.NewEstimator(), attempts: t.FencingToken << attemptBits,
		fleetManager: fleetManager{renting: map[autoscaler.MachinePool]int{}, refused: map[autoscaler.MachinePool]refusal{}, returned: map[string]time.Time{}},
		recoverer:    newRecoverer(),
	}
	l.planner = planner.New(plannerConfig(d), l.state, l.runTimes, l.machineType, l)
	l.round = t.FencingToken << roundBits
	l.detector = liveness.New(liveness.Config{
		SuspectAfter: d.Derived.Detection.SuspectAfter, LeaseExpiry: d.Derived.Workers.LeaseExpiry,
		HoldTimeout: d.Derived.Detection.MaxHold, VerdictInterval: d.Derived.Detection.VerdictInterval, MachinesPerVerdict: smallZone,
		HeartbeatOverdue: d.Derived.Detection.HeartbeatOverdue, GroupSuspectAfter: d.Derived.Detection.ZoneSilenceLimit, Importance: l.productionTasks,
	})
	return l
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

// roundBits is how many rounds of comparison a term has numbers for.
const roundBits = 16

// attemptBits is how many attempts a token has numbers for: no other term uses them.
const attemptBits = 24

type refusal struct {
	until time.Time
	wait  time.Duration
}

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
	return !l.storeUnavailable && now.Sub(l.PromisesRequestedAt()) > l.Derived.Election.LeaseDuration
}
