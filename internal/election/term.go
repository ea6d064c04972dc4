// Package election keeps the leadership: one node at a time holds a key that is
// tied to a lease of the state service. The token that workers compare is a
// counter raised in the transaction that takes the key.
package election

import (
	"context"
	"crypto/rand"
	"errors"
	"sync/atomic"
	"time"

	"ospreyslip/internal/election/rules"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

const (
	prefix = "term/"
	// HolderKey guards every write of a leader: its revision stays the same
	// for the whole term.
	HolderKey = "term/holder"
	// TokenKey holds the highest token ever given out. It outlives the lease.
	TokenKey = "term/token"
)

// Holder is what the holder key says.
type Holder struct {
	Node  string `json:"node"`
	Life  string `json:"life"` // one run of that node's process
	Token uint64 `json:"token"`
	// Lease is the one that the key is tied to; 0 if an earlier version wrote it.
	Lease uint64 `json:"lease,omitempty"`
}

// Term is one time of leadership.
type Term struct {
	Token         uint64
	Revision      uint64 // revision of HolderKey
	TokenRevision uint64 // revision of TokenKey
	Since         time.Time
}

// Timing is how long the lease lasts and how it is kept.
type Timing struct {
	Lease     time.Duration // of the term and of a promise
	Renew     time.Duration // between two renewals
	Safe      time.Duration // how long after its request was sent a renewal, or a promise, counts
	WatchWait time.Duration
	Retry     time.Duration
}

// Keeper campaigns for the term and keeps it.
type Keeper struct {
	node     string
	life     string
	store    *kvstore.Client
	timing   Timing
	base     time.Time
	cover    cover        // of the term that this node holds
	asked    atomic.Int64 // for the last promises of all others, at base+asked
	holder   atomic.Pointer[Holder]
	heard    atomic.Int64        // of the term, from the state service, at base+heard
	promised promise             // to another node
	token    atomic.Uint64       // of the term that this node holds, as raised since
	last     Holder              // the last one read, owned by Run
	newest   detection.Watermark // revision that was read, owned by Run

	// AllPromise asks all other nodes for a promise; nil means that there are
	// none to be had.
	AllPromise func(ctx context.Context, token uint64) bool
	// NobodyRelies asks all other nodes whether each has answered, in its present life, that
	// it relies on no promise; nil means that this cannot be found out.
	NobodyRelies func(ctx context.Context) bool
	// Lost is told what shows that the state service has lost keys of the term.
	Lost func(detection.Evidence)
}

// NewKeeper makes a keeper for a node.
func NewKeeper(node string, store *kvstore.Client, timing Timing) *Keeper {
	k := &Keeper{node: node, life: rand.Text(), store: store, timing: timing, base: time.Now(), Lost: func(detection.Evidence) {}}
	k.promised.giver = rules.Restarted(0, timing.Lease)
	return k
}

// Valid tells whether this node holds the term at this moment, by its own
// clock and counted from when the last good renewal was sent.
func (k *Keeper) Valid() bool { return k.cover.valid(k.now()) }

// now is this node's steady clock, as all decisions about the term count.
func (k *Keeper) now() time.Duration { return time.Since(k.base) }

// ReliesOnNothing tells whether this node, in its present life, neither holds a term nor may
// come to act by one that it took: then no promise that others have given it matters.
func (k *Keeper) ReliesOnNothing() bool { return k.cover.reliesOnNothing() }

// Promised returns when the last promises were asked for that all others gave. It
// is the zero time if that was never so.
func (k *Keeper) Promised() time.Time {
	if at := k.asked.Load(); at > 0 {
		return k.base.Add(time.Duration(at))
	}
	return time.Time{}
}

// Raised notes that the holder has raised the token within its term. Questions
// for promises carry the newest: by an older one, the others would take the
// holder for one that has been succeeded.
func (k *Keeper) Raised(token uint64) {
	k.token.Store(token)
	k.promised.know(token)
}

// Leader names the node that held the term when last seen, or is empty. What was
// seen too long ago is not told: a node that is cut off would send workers to
// one that leads no more.
func (k *Keeper) Leader() string {
	h := k.holder.Load()
	if h == nil || time.Since(k.base)-time.Duration(k.heard.Load()) > k.timing.WatchWait+2*k.timing.Lease {
		return ""
	}
	return h.Node
}

// listened notes that the state service has told of the term, as of a moment.
func (k *Keeper) listened(at time.Time) { k.heard.Store(int64(at.Sub(k.base))) }

// Promise decides whether this node promises not to take the term for the time of
// one lease, as the term's holder asks. It does so only while the state service
// does not answer it either: otherwise the holder's trouble is its own.
func (k *Keeper) Promise(ctx context.Context, token uint64) bool {
	if k.Valid() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.timing.Renew)
	defer cancel()
	if _, _, err := k.store.Get(ctx, HolderKey); err == nil || errors.Is(err, kvstore.ErrBusy) {
		return false // a service that is only busy still takes cancellations
	}
	if !k.promised.give(k.now(), k.timing.Lease, token) {
		return false
	}
	if h := k.holder.Load(); h != nil && h.Token <= token {
		k.listened(time.Now()) // the holder itself has told of the term
	}
	return true
}
