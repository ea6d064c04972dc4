// Package leader is the leader: one goroutine owns what is known of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package leader

import (
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/leader/scaler"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/writer"
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
	// PeerLeasesRequestedAt is when the peer leases were asked for that keep the term in an outage;
	// they came from all other nodes.
	PeerLeasesRequestedAt func() time.Time
	TokenRaised           func(token uint64) // told of a token raised within the term
	Broadcast             func(map[string]jobs.Counts, []peer.JobChange)
	MachineTypes          func() []jobs.MachineType
	Counts                *Counts
	Cache                 *jobcache.Cache // what this node knows of all jobs
	Peers                 recoverer.PeerClient
	Node                  string
}

// Leader is one term's work. One goroutine, the event loop, owns all of it but the inbox and what
// is atomic; Gate hands it what others ask for.
type Leader struct {
	Deps
	term    election.Term
	state   *cluster.State   // jobs, machines and assignments
	catalog *cluster.Catalog // machine types
	inbox   inbox

	fencing    *fencing.Token
	detector   *liveness.Detector
	failover   *reconcile.Failover
	log        *assignmentlog.Log
	planner    *planner.Planner
	runTimes   *runtimes.Estimator
	tasks      *tasks.Manager
	dispatcher *dispatch.Dispatcher
	scaler     *scaler.Scaler
	recovery   *recoverer.Recoverer

	jobs   *jobtracker.Tracker
	writer *writer.Writer

	loop loopState
}

// newLeader makes a leader that knows of nothing yet.
func newLeader(deps Deps, term election.Term) *Leader {
	l := &Leader{
		Deps: deps, term: term, state: cluster.NewState(), inbox: newInbox(),
		catalog:  &cluster.Catalog{Types: deps.MachineTypes, DefaultBootTime: deps.Derived.Workers.Lease},
		fencing:  fencing.New(term.FencingToken, term.TokenRevision),
		failover: reconcile.NewFailover(term.Since, deps.Derived.Detection.HeartbeatOverdue),
		log:      assignmentlog.New(logConfig(deps.Derived)),
		runTimes: runtimes.NewEstimator(),
	}
	l.detector = liveness.New(detectorConfig(deps.Derived, l.productionTasks))
	l.planner = planner.New(plannerConfig(deps), l.state, l.runTimes, l.catalog.Type, planConstraints{l})
	l.tasks = tasks.NewManager(taskDeps(l), term.FencingToken<<attemptBits)
	l.dispatcher = dispatch.New(dispatchDeps(l))
	l.scaler = newScaler(l)
	l.recovery = recoverer.New(recoveryConfig(l))
	l.jobs = jobtracker.New(trackerDeps(l))
	l.writer = writer.New(writerDeps(l))
	return l
}

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
func plannerConfig(deps Deps) planner.Config {
	return planner.Config{
		Teams: deps.Settings.Deployment.Teams, Objectives: deps.Settings.Deployment.Objectives,
		ControlInterval: deps.Derived.Leader.ControlInterval, StarvationLimit: deps.Derived.Leader.StarvationLimit,
		CountedRunTime: deps.Derived.Leader.CountedRunTime,
	}
}

// attemptBits is how many attempts a token has numbers for: no other term uses them.
const attemptBits = 24

// smallZone is the size of a zone that the operators' gap between verdicts is for.
const smallZone = 20
