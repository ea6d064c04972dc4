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

// Host is what the scaler needs of the other parts of the leader. Its methods are called on
// the event loop.
type Host interface {
	// Term is the token with which the leader's term began: rentals of two terms never have
	// the same name. It is raised if the store has lost the token.
	Term() uint64
	// Token is the current fencing token, which log lines show.
	Token() uint64
	// RunTimeS is how long a task of a job is expected to run, in seconds.
	RunTimeS(spec *jobs.Spec) float64
	// IsUsable tells whether work may be placed on a machine.
	IsUsable(m *cluster.Machine, now time.Time) bool
	// MayHaveUnknownTasks tells whether a machine may run tasks that no assignment accounts
	// for. Such a machine is not released unless it is dead.
	MayHaveUnknownTasks(m *cluster.Machine) bool
	// IsZoneSilent tells whether a zone fell silent within the last while and was not heard
	// of since.
	IsZoneSilent(zone string, now time.Time, while time.Duration) bool
	// SuspectMachine has a machine probed: it may be gone.
	SuspectMachine(id string)
	// WithdrawOffer keeps new work off a machine.
	WithdrawOffer(m *cluster.Machine)
	// RemoveMachine ends all assignments of a machine that the cloud has taken back and
	// removes it from the observed state.
	RemoveMachine(m *cluster.Machine)
	// RequestPlan asks for a placement plan: the machines have changed.
	RequestPlan()
}

// Deps is what a scaler works with.
type Deps struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Cloud    *cloud.Client
	Catalog  *cluster.Catalog
	State    *cluster.State
	Host     Host

	// Valid tells whether leadership is held at this moment: only then may a request that
	// changes anything go to the cloud. It is called by any goroutine.
	Valid func() bool
	// Post has a function called on the event loop, unless the context ends before. It is
	// called by any goroutine.
	Post func(ctx context.Context, apply func(now time.Time))
}

// Scaler rents and releases machines for one term. All methods but PollList belong to the
// event loop.
type Scaler struct {
	deps Deps
	host Host

	lastRunAt   time.Time
	lastRunTook time.Duration
	rentAfter   time.Time // an earlier leader's rentals may not be listed before

	arrivals arrivalRate
	rentals  rentals
	releases releaseQueue
	// released is the machines that the cloud has taken back, each with the time until which
	// its list may still show them.
	released map[string]time.Time
}

// New makes a scaler that has asked the cloud for nothing yet.
func New(deps Deps) *Scaler {
	return &Scaler{
		deps: deps, host: deps.Host,
		arrivals: arrivalRate{window: deps.Derived.Leader.StarvationLimit},
		rentals:  newRentals(),
		released: map[string]time.Time{},
	}
}

// reconcileShare bounds the part of the event loop's time that the scaler takes.
const reconcileShare = 0.2

// IsDue tells whether it is time for the next Reconcile. Without a catalog it never is.
func (s *Scaler) IsDue(now time.Time) bool {
	pause := max(s.deps.Derived.Leader.ControlInterval/4, cluster.ScaleDuration(s.lastRunTook, 1/reconcileShare))
	return now.Sub(s.lastRunAt) >= pause && s.deps.Catalog.Types() != nil
}

// Reconcile releases the machines that are not needed any more, and rents machines for the
// tasks that the last placement plan found no room for. The context is that of the requests to
// the cloud, which go on after Reconcile has returned.
func (s *Scaler) Reconcile(ctx context.Context, now time.Time, unmet []placement.Demand) {
	s.lastRunAt = now
	defer func() { s.lastRunTook = time.Since(now) }()
	s.Release(ctx, s.machinesToRelease(now)...)
	if now.Before(s.rentAfter) && s.host.Term() > 1 {
		return
	}
	s.provision(ctx, now, unmet)
}

// DeferRentals keeps the scaler from renting before a moment, unless this is the first term
// of all: what an earlier leader has rented may not be in the cloud's list yet.
func (s *Scaler) DeferRentals(until time.Time) { s.rentAfter = until }

// JobArrived counts the work of a new job, or of an older one that a new leader finds.
func (s *Scaler) JobArrived(job *cluster.Job, age time.Duration, now time.Time) {
	if job.Spec.RunsToCompletion() {
		s.arrivals.add(float64(job.Spec.Tasks)*s.host.RunTimeS(job.Spec)*job.Spec.CPUs, age, now)
	}
}
