// Package election keeps the leadership: one node at a time holds a key that is
// tied to a lease of the state service. The token that workers compare is a
// counter raised in the transaction that takes the key.
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

// Timing is how long the lease lasts and how it is kept.
type Timing struct {
	LeaseDuration time.Duration // of the term and of a promise
	RenewPeriod   time.Duration // between two renewals
	ValidFor      time.Duration // how long after its request was sent a renewal, or a promise, counts
	WatchTimeout  time.Duration
	RetryPeriod   time.Duration
}

// Elector campaigns for the term and keeps it.
type Elector struct {
	node                  string
	incarnation           string
	store                 *kvstore.Client
	timing                Timing
	clockStart            time.Time
	validity              lockedValidity // of the term that this node holds
	peerLeasesRequestedAt atomic.Int64   // for the last promises of all others, at base+asked
	observedHolder        atomic.Pointer[holderRecord]
	contactAt             atomic.Int64      // of the term, from the state service, at base+heard
	grantor               lockedGrantor     // to another node
	ownToken              atomic.Uint64     // of the term that this node holds, as raised since
	lastHolder            holderRecord      // the last one read, owned by Run
	newestRevision        detection.Highest // revision that was read, owned by Run

	// RequestPeerLeases asks all other nodes for a promise; nil means that there are
	// none to be had.
	RequestPeerLeases func(ctx context.Context, token uint64) bool
	// NoPeerReliesOnGrants asks all other nodes whether each has answered, in its present life, that
	// it relies on no promise; nil means that this cannot be found out.
	NoPeerReliesOnGrants func(ctx context.Context) bool
	// ReportLoss is told what shows that the state service has lost keys of the term.
	ReportLoss func(detection.Loss)
}

// NewElector makes a keeper for a node.
func NewElector(node string, store *kvstore.Client, timing Timing) *Elector {
	k := &Elector{node: node, incarnation: rand.Text(), store: store, timing: timing, clockStart: time.Now(), ReportLoss: func(detection.Loss) {}}
	k.grantor.grantor = rules.RestartedGrantor(0, timing.LeaseDuration)
	return k
}

// IsLeader tells whether this node holds the term at this moment, by its own
// clock and counted from when the last good renewal was sent.
func (k *Elector) IsLeader() bool { return k.validity.valid(k.now()) }

// now is this node's steady clock, as all decisions about the term count.
func (k *Elector) now() time.Duration { return time.Since(k.clockStart) }

// ReliesOnNoGrant tells whether this node, in its present life, neither holds a term nor may
// come to act by one that it took: then no promise that others have given it matters.
func (k *Elector) ReliesOnNoGrant() bool { return k.validity.reliesOnNoGrant() }

// PeerLeasesRequestedAt returns when the last promises were asked for that all others gave. It
// is the zero time if that was never so.
func (k *Elector) PeerLeasesRequestedAt() time.Time {
	if at := k.peerLeasesRequestedAt.Load(); at > 0 {
		return k.clockStart.Add(time.Duration(at))
	}
	return time.Time{}
}

// TokenRaised notes that the holder has raised the token within its term. Questions
// for promises carry the newest: by an older one, the others would take the
// holder for one that has been succeeded.
func (k *Elector) TokenRaised(token uint64) {
	k.ownToken.Store(token)
	k.grantor.observeToken(token)
}

// Leader names the node that held the term when last seen, or is empty. What was
// seen too long ago is not told: a node that is cut off would send workers to
// one that leads no more.
func (k *Elector) Leader() string {
	h := k.observedHolder.Load()
	if h == nil || time.Since(k.clockStart)-time.Duration(k.contactAt.Load()) > k.timing.WatchTimeout+2*k.timing.LeaseDuration {
		return ""
	}
	return h.Node
}

// noteContact notes that the state service has told of the term, as of a moment.
func (k *Elector) noteContact(at time.Time) { k.contactAt.Store(int64(at.Sub(k.clockStart))) }
