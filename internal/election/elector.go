package election

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"ospreyslip/internal/election/rules"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// Timing holds the durations by which leases are granted, renewed and watched.
type Timing struct {
	LeaseDuration time.Duration // duration of the term's lease and of a peer lease
	RenewPeriod   time.Duration // time between two renewals
	// ValidFor is how long a renewal, or a grant by all peers, is valid, counted from when it was
	// requested. It is shorter than LeaseDuration, to allow for clock drift.
	ValidFor     time.Duration
	WatchTimeout time.Duration // longest wait of one watch of the election keys
	RetryPeriod  time.Duration // mean delay before a retry
}

// LeadFunc leads for one term. It must return soon after its context ends. If it returns earlier,
// the controller resigns.
type LeadFunc func(ctx context.Context, term Term)

// Elector campaigns for the leadership and renews its lease. Run must be called only once; all
// other methods are safe for concurrent use.
type Elector struct {
	controller  string
	incarnation string // identifies this run of the controller
	store       *kvstore.Client
	timing      Timing
	clockStart  time.Time // zero of the monotonic clock that the decisions use

	validity lockedValidity // of the term that this controller holds
	grantor  lockedGrantor  // of peer leases to other controllers
	ownToken atomic.Uint64  // newest fencing token of the term that this controller holds

	// Times on the elector's clock.
	peerLeasesRequestedAt atomic.Int64 // of the last leases that all peers granted; 0: never
	holderObservedAt      atomic.Int64 // time as of which observedHolder is known

	observedHolder atomic.Pointer[holderRecord] // nil if no controller holds the key
	lastHolder     holderRecord                 // last holder that was observed; used only by Run
	newestRevision detection.Watermark          // of the store

	// RequestPeerLeases requests a lease for the leader with a fencing token from every peer and
	// reports whether all granted it. If nil, no peer leases are available. Set it before Run.
	RequestPeerLeases func(ctx context.Context, token uint64) bool
	// NoPeerReliesOnGrants asks every peer and reports whether each has told this incarnation
	// that it relies on no grant. If nil, the peers cannot be asked. Set it before Run.
	NoPeerReliesOnGrants func(ctx context.Context) bool
	// ReportLoss is called with evidence that the store has lost keys of the election. Set it
	// before Run. It must be safe for concurrent use.
	ReportLoss func(detection.Evidence)
}

// NewElector returns an Elector for the controller of the given name. It takes the current time as
// the start of the controller's incarnation.
func NewElector(controller string, store *kvstore.Client, timing Timing) *Elector {
	e := &Elector{
		controller: controller, incarnation: rand.Text(), store: store, timing: timing, clockStart: time.Now(),
		ReportLoss: func(detection.Evidence) {},
	}
	e.grantor.grantor = rules.NewRestartedGrantor(0, timing.LeaseDuration)
	return e
}

// clock returns the time on the elector's monotonic clock, which all decisions use.
func (e *Elector) clock() time.Duration { return time.Since(e.clockStart) }

// clockAt converts a time to the elector's clock.
func (e *Elector) clockAt(at time.Time) time.Duration { return at.Sub(e.clockStart) }

// IsLeader reports whether this controller may act as the leader now, by its own clock.
func (e *Elector) IsLeader() bool { return e.validity.valid(e.clock()) }

// ReliesOnNoGrant reports whether this incarnation holds no term, valid or not. If so, no lease
// that a peer has granted it so far can extend a term.
func (e *Elector) ReliesOnNoGrant() bool { return e.validity.reliesOnNoGrant() }

// PeerLeasesRequestedAt returns when the last peer leases that all peers granted were requested,
// or the zero time if there are none.
func (e *Elector) PeerLeasesRequestedAt() time.Time {
	if at := e.peerLeasesRequestedAt.Load(); at > 0 {
		return e.clockStart.Add(time.Duration(at))
	}
	return time.Time{}
}

// ObserveRaisedToken records that the leader has raised its fencing token within the term. Requests
// for peer leases must carry the newest token: peers refuse a leader whose token is lower than the
// highest that they know, because they assume that it has been succeeded.
func (e *Elector) ObserveRaisedToken(token uint64) {
	e.ownToken.Store(token)
	e.grantor.observeToken(token)
}

// Leader returns the name of this controller if it leads, and otherwise of the controller that was
// last observed to be the leader. It returns the empty string if there is none, or if the last
// observation is too old: a controller that cannot reach the store must not direct workers to a
// leader that may no longer lead.
func (e *Elector) Leader() string {
	if e.IsLeader() {
		return e.controller // which observes no holder during its own term
	}
	holder := e.observedHolder.Load()
	if holder == nil || e.clock()-time.Duration(e.holderObservedAt.Load()) > e.timing.WatchTimeout+2*e.timing.LeaseDuration {
		return ""
	}
	return holder.Controller
}

// setHolderObservedAt records the time as of which observedHolder is known.
func (e *Elector) setHolderObservedAt(at time.Time) { e.holderObservedAt.Store(int64(e.clockAt(at))) }
