// Package leader implements the elected leader of the cluster. One goroutine owns the state of all
// jobs and machines, and every decision is durable before a worker is told of it.
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

// Deps holds the dependencies of a leader.
type Deps struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *kvstore.Client
	Cloud    *cloud.Client
	Workers  *workers.Client
	IsLeader func() bool // reports whether this controller holds the term now
	// PeerLeasesRequestedAt returns when the newest peer leases that all peers granted were
	// requested. They keep the term during an outage of the store.
	PeerLeasesRequestedAt func() time.Time
	TokenRaised           func(token uint64) // called after the token is raised within the term
	Broadcast             func(map[string]jobs.TaskCounts, []peer.JobChange)
	MachineTypes          func() []jobs.MachineType
	Counts                *Counts
	Cache                 *jobcache.Cache // what this controller knows of all jobs
	Peers                 recoverer.PeerClient
	ControllerName        string
}

// Leader does the work of one term. One goroutine, the event loop, owns all of it but the inbox
// and atomic values. Other goroutines reach it through Handle.
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

// newLeader returns a leader that has not loaded any records yet.
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

// detectorConfig returns the configuration of the failure detector.
func detectorConfig(derived settings.Derived, importance func(machine string) int) liveness.Config {
	return liveness.Config{
		SuspectAfter: derived.Detection.SuspectAfter, LeaseExpiry: derived.Workers.LeaseExpiry,
		HoldTimeout: derived.Detection.MaxHold, VerdictInterval: derived.Detection.VerdictInterval,
		MachinesPerVerdict: machinesPerVerdict, HeartbeatOverdue: derived.Detection.HeartbeatOverdue,
		GroupSuspectAfter: derived.Detection.ZoneSilenceLimit, Importance: importance,
	}
}

// logConfig returns the limits of the assignment log.
func logConfig(derived settings.Derived) assignmentlog.Config {
	return assignmentlog.Config{ChunkTasks: derived.Store.ChunkTasks, MaxOps: derived.Store.TxnOps, ValueBytes: derived.Store.ValueBytes}
}

// plannerConfig returns the configuration of the planner.
func plannerConfig(deps Deps) planner.Config {
	return planner.Config{
		Teams: deps.Settings.Deployment.Teams, Objectives: deps.Settings.Deployment.Objectives,
		ControlInterval: deps.Derived.Leader.ControlInterval, StarvationLimit: deps.Derived.Leader.StarvationLimit,
		CountedRunTime: deps.Derived.Leader.CountedRunTime,
	}
}

// attemptBits is the number of low bits of an attempt number that count attempts. The bits above
// hold the fencing token, so that no two terms use the same number.
const attemptBits = 24

// machinesPerVerdict is the number of machines in a zone for which the operators' verdict interval
// allows one verdict. Larger zones have proportionally more.
const machinesPerVerdict = 20
