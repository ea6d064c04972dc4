package scaler

import (
	"context"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
)

// Host is the interface to the rest of the leader. Its methods are called on the event loop.
type Host interface {
	// Term returns the fencing token with which the leader's term began. It makes the names of
	// provisioning requests unique across terms. It is raised if the store has lost the token.
	Term() uint64
	// Token returns the current fencing token, for log messages.
	Token() uint64
	// RunTimeS returns the expected run time of a task of a job, in seconds.
	RunTimeS(spec *jobs.Spec) float64
	// IsUsable reports whether tasks may be placed on a machine.
	IsUsable(m *cluster.Machine, now time.Time) bool
	// MayHaveUnknownTasks reports whether a machine may run tasks without an assignment. Such a
	// machine is not released unless it is dead.
	MayHaveUnknownTasks(m *cluster.Machine) bool
	// IsZoneSilent reports whether a zone fell silent within the given time before now and no
	// machine in it has reported since.
	IsZoneSilent(zone string, now time.Time, within time.Duration) bool
	// SuspectMachine requests a probe of a machine that may be gone.
	SuspectMachine(id string)
	// WithdrawOffer stops the placement of new tasks on a machine.
	WithdrawOffer(m *cluster.Machine)
	// RemoveMachine ends all assignments of a machine whose release the cloud has confirmed, and
	// removes the machine from the observed state.
	RemoveMachine(m *cluster.Machine)
	// RequestPlan requests a placement plan because the machines have changed.
	RequestPlan()
}

// Deps holds the dependencies of a Scaler.
type Deps struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Cloud    *cloud.Client
	Catalog  *cluster.Catalog
	State    *cluster.State
	Host     Host

	// Valid reports whether leadership is held at this moment. Requests that change the cloud's
	// state may be sent only while it is. It may be called from any goroutine.
	Valid func() bool
	// Post runs a function on the event loop unless the context ends first. It may be called from
	// any goroutine.
	Post func(ctx context.Context, apply func(now time.Time))
}

// Scaler provisions and releases machines for one term. All methods except PollList must be called
// on the event loop.
type Scaler struct {
	deps Deps
	host Host

	lastRunAt       time.Time
	lastRunDuration time.Duration
	// provisionAfter is the time until which the cloud's list may lack machines that an earlier
	// leader provisioned.
	provisionAfter time.Time

	arrivals     arrivalRate
	provisioning provisionRequests
	releases     releaseQueue
	// released holds the machines whose release the cloud has confirmed, each with the time until
	// which heartbeats and the cloud's list may still name it.
	released map[string]time.Time
}

// New returns a Scaler that has not sent any request.
func New(deps Deps) *Scaler {
	return &Scaler{
		deps: deps, host: deps.Host,
		arrivals:     arrivalRate{window: deps.Derived.Leader.StarvationLimit},
		provisioning: newProvisionRequests(),
		released:     map[string]time.Time{},
	}
}

// reconcileShare is the maximum fraction of the event loop's time that the scaler uses.
const reconcileShare = 0.2

// IsDue reports whether Reconcile should run. It returns false while the catalog is unknown.
func (s *Scaler) IsDue(now time.Time) bool {
	pause := max(s.deps.Derived.Leader.ControlInterval/4, cluster.ScaleDuration(s.lastRunDuration, 1/reconcileShare))
	return now.Sub(s.lastRunAt) >= pause && s.deps.Catalog.Types() != nil
}

// Reconcile releases machines that are no longer needed, and provisions machines for the tasks that
// the last placement plan found no room for. The context applies to the requests to the cloud, which
// continue after Reconcile returns.
func (s *Scaler) Reconcile(ctx context.Context, now time.Time, unmetDemand []placement.Demand) {
	s.lastRunAt = now
	defer func() { s.lastRunDuration = time.Since(now) }()
	s.Release(ctx, s.machinesToRelease(now, s.machinesForGangs(now, unmetDemand))...)
	if now.Before(s.provisionAfter) && s.host.Term() > 1 {
		return
	}
	s.provision(ctx, now, unmetDemand)
}

// DeferProvisioning prevents provisioning before the given time, except in the very first term. The
// cloud's list may lack machines that an earlier leader provisioned until then.
func (s *Scaler) DeferProvisioning(until time.Time) { s.provisionAfter = until }

// JobArrived counts the work of a new job, or of an older job that a new leader has read.
func (s *Scaler) JobArrived(job *cluster.Job, age time.Duration, now time.Time) {
	if job.Spec.RunsToCompletion() {
		s.arrivals.add(float64(job.Spec.Tasks)*s.host.RunTimeS(job.Spec)*job.Spec.CPUs, age, now)
	}
}
