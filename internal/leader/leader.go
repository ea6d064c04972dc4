// Package leader is the leader: one goroutine owns what is known of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/placement"
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
	Valid    func() bool // holds the term at this moment
	// Promised is when the promises were asked for that keep the term in an outage;
	// they came from all other nodes.
	Promised func() time.Time
	Raised   func(token uint64) // told of a token raised within the term
	Publish  func(map[string]jobs.Counts, []peer.JobChange)
	Catalog  func() []jobs.MachineType
	Counts   *Counts
	Cache    *jobs.Cache // what this node knows of all jobs
	Peers    PeerKnowledge
	Node     string
}

// Leader is one term's work.
type Leader struct {
	Deps
	term     election.Term
	takeover *reconcile.Failover

	reports chan reportIn
	events  chan func(now time.Time) // outcomes of I/O, applied by the one goroutine
	quit    chan struct{}

	view
	tokens
	writer
	planner
	dispatcher
	fleetManager
	recoverer

	tickGroup int // of the ticks in a control interval
	shownAt   time.Time
	changes   []peer.JobChange // of records, since then
	mayResign bool
	resign    bool
}

// view is what the leader knows of jobs and machines, and as of when.
type view struct {
	jobs     map[string]*job
	machines machineSet
	watch    *liveness.Detector
	used     map[string]placement.Resources // by team
	viewTime time.Time                      // all that users were told by then is in the jobs
	seen     atomic.Uint64                  // as are all changes up to this revision
	unseen   map[string]uint64              // jobs known to be cancelled at a later revision
	expireAt time.Time                      // no worker's lease ends before
}

// tokens is the fencing token, as raised within the term to end doubts.
type tokens struct {
	token         uint64
	tokenRevision uint64
	raiseToken    bool
	tokenFloor    uint64 // the next token is above it: a worker, or the log, shows it
	checkingToken bool
	raisedAt      time.Time
	clearHeld     bool              // an end is not cleared, for want of a higher token
	doubtful      map[*machine]bool // with a doubtSince, and some that had one
}

// writer is what waits to be made durable, and the transaction under way.
type writer struct {
	log          assignmentLog
	finished     []*job // whose records are to be written as done
	writing      bool
	storeFailing bool // the last transaction was not executed, as far as is known
	flushedAt    time.Time
}

// planner is the queue of tasks that wait, and what plans need besides.
type planner struct {
	capacity     placement.CapacityIndex
	tasksByRank  [8]int // tasks on machines, by priority
	attempts     uint64 // the number given out last
	queued       map[*job]bool
	uncovered    bool // which jobs are covered is to be found out anew
	replan       bool
	plannedAt    time.Time
	planDuration time.Duration
	unmet        []placement.Demand
	runTimes     map[string]*runTimes // by class
}

// dispatcher is the orders and calls to workers.
type dispatcher struct {
	notifyQueue      []*machine // have something to be told at once
	unconfirmedQueue []*machine // the same, but they may not answer
	ordersInFlight   int
	callsInFlight    int
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
		Deps: d, term: t, takeover: reconcile.NewFailover(t.Since, d.Derived.Overdue),
		reports: make(chan reportIn, 16), events: make(chan func(time.Time), 64), quit: make(chan struct{}),
		view:         view{jobs: map[string]*job{}, machines: newMachineSet(), used: map[string]placement.Resources{}, unseen: map[string]uint64{}},
		tokens:       tokens{token: t.Token, tokenRevision: t.TokenRevision, doubtful: map[*machine]bool{}},
		planner:      planner{queued: map[*job]bool{}, runTimes: map[string]*runTimes{}, attempts: t.Token << attemptBits},
		fleetManager: fleetManager{renting: map[autoscaler.MachinePool]int{}, refused: map[autoscaler.MachinePool]refusal{}, returned: map[string]time.Time{}},
		recoverer:    newRecoverer(),
	}
	l.round = t.Token << roundBits
	l.watch = liveness.New(liveness.Config{
		SuspectAfter: d.Derived.SilentFor, LeaseExpiry: d.Derived.LeaseOver,
		HoldTimeout: d.Derived.HoldGrace, VerdictInterval: d.Derived.VerdictGap, MachinesPerVerdict: smallZone,
		HeartbeatOverdue: d.Derived.Overdue, GroupSuspectAfter: d.Derived.ZoneSilent, Importance: l.services,
	})
	return l
}

// roundBits is how many rounds of comparison a term has numbers for.
const roundBits = 16

// attemptBits is how many attempts a token has numbers for: no other term uses them.
const attemptBits = 24

type refusal struct {
	until time.Time
	wait  time.Duration
}

// ticksPerInterval is how many ticks there are in a control interval. What need not be looked at in each,
// of thousands of machines, has its turn in one of them.
const ticksPerInterval = 8

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
	tick := time.NewTicker(l.Derived.ControlInterval / ticksPerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			f(time.Now())
		case in := <-l.reports:
			in.reply <- l.report(in.report, time.Now())
		case <-tick.C:
			l.tick(ctx, time.Now())
		}
		// Take in what else has come before deciding once for all of it.
		for more := true; more; {
			select {
			case f := <-l.events:
				f(time.Now())
			case in := <-l.reports:
				in.reply <- l.report(in.report, time.Now())
			default:
				more = false
			}
		}
		if ctx.Err() != nil || l.resign {
			return
		}
		now := time.Now()
		if l.mayPlan(now) {
			l.place(now)
		}
		l.flush(ctx, now)
		l.orders(ctx, now)
	}
}

// mayBegin tells whether new work can be made durable. While it cannot, a plan
// would stop tasks to make room that nothing can be placed in.
func (l *Leader) mayBegin(now time.Time) bool {
	return !l.storeFailing && now.Sub(l.Promised()) > l.Derived.TermLease
}
