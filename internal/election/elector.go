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

// Timing is how long a lease lasts and how it is kept.
type Timing struct {
	LeaseDuration time.Duration // of the term's lease and of a peer lease
	RenewPeriod   time.Duration // between two renewals
	// ValidFor is how long a renewal, or the grants of all peers, count from when they were
	// requested. It is shorter than LeaseDuration by the drift of clocks.
	ValidFor     time.Duration
	WatchTimeout time.Duration // of one watch of the holder key
	RetryPeriod  time.Duration // the mean pause after a failure
}

// LeadFunc is what a node does with a term that it has won. It has to return soon after its
// context has ended; if it returns before, the node resigns.
type LeadFunc func(ctx context.Context, term Term)

// Elector campaigns for the leadership and keeps it. Run is called once; all other methods may
// be called from any goroutine.
type Elector struct {
	node        string
	incarnation string // this run of the node's process
	store       *kvstore.Client
	timing      Timing
	clockStart  time.Time // where the clock of all decisions reads 0

	validity lockedValidity // of the term that this node holds
	grantor  lockedGrantor  // of peer leases to other nodes
	ownToken atomic.Uint64  // newest fencing token of the term that this node holds

	// Readings of the decisions' clock.
	peerLeasesRequestedAt atomic.Int64 // the last ones that all peers granted; 0: never
	contactAt             atomic.Int64 // as of when observedHolder is known

	observedHolder atomic.Pointer[holderRecord] // nil: nobody
	lastHolder     holderRecord                 // the last one observed; owned by Run
	newestRevision detection.Watermark          // of the store

	// RequestPeerLeases asks all peers to grant a lease to the leader with a fencing token, and
	// tells whether all did. Nil means that there are none to be had. Set before Run.
	RequestPeerLeases func(ctx context.Context, token uint64) bool
	// NoPeerReliesOnGrants asks all peers, and tells whether each has answered this incarnation
	// that it relies on no grant. Nil means that this cannot be found out. Set before Run.
	NoPeerReliesOnGrants func(ctx context.Context) bool
	// ReportLoss is called with what shows that the store has lost keys of the election. Set
	// before Run; it is called by several goroutines.
	ReportLoss func(detection.Evidence)
}

// NewElector makes an elector for a node, which has begun just now.
func NewElector(node string, store *kvstore.Client, timing Timing) *Elector {
	e := &Elector{
		node: node, incarnation: rand.Text(), store: store, timing: timing, clockStart: time.Now(),
		ReportLoss: func(detection.Evidence) {},
	}
	e.grantor.grantor = rules.RestartedGrantor(0, timing.LeaseDuration)
	return e
}

// clock reads the monotonic clock of all decisions.
func (e *Elector) clock() time.Duration { return time.Since(e.clockStart) }

// clockAt is what that clock read at a moment.
func (e *Elector) clockAt(at time.Time) time.Duration { return at.Sub(e.clockStart) }

// IsLeader tells whether this node may act as the leader at this moment, by its own clock.
func (e *Elector) IsLeader() bool { return e.validity.valid(e.clock()) }

// ReliesOnNoGrant tells whether no lease that a peer has granted to this node up to now can help
// it: in its present incarnation it holds no term, valid or not.
func (e *Elector) ReliesOnNoGrant() bool { return e.validity.reliesOnNoGrant() }

// PeerLeasesRequestedAt returns when the last peer leases were requested that all peers granted.
// It is the zero time if that was never so.
func (e *Elector) PeerLeasesRequestedAt() time.Time {
	if at := e.peerLeasesRequestedAt.Load(); at > 0 {
		return e.clockStart.Add(time.Duration(at))
	}
	return time.Time{}
}

// TokenRaised notes that the leader has raised the fencing token within its term. Requests for
// peer leases carry the newest one: by an older one, peers would take the leader for one that has
// been succeeded.
func (e *Elector) TokenRaised(token uint64) {
	e.ownToken.Store(token)
	e.grantor.observeToken(token)
}

// Leader names the node that was last observed to hold the leadership, or is empty. It is empty
// too when that is too long ago: a node that is cut off would send workers to one that leads no
// more.
func (e *Elector) Leader() string {
	holder := e.observedHolder.Load()
	if holder == nil || e.clock()-time.Duration(e.contactAt.Load()) > e.timing.WatchTimeout+2*e.timing.LeaseDuration {
		return ""
	}
	return holder.Node
}

// noteContact notes that observedHolder is known as of a moment.
func (e *Elector) noteContact(at time.Time) { e.contactAt.Store(int64(e.clockAt(at))) }
