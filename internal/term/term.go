// Package term keeps the leadership: one node at a time holds a key that is
// tied to a lease of the state service. The token that workers compare is a
// counter raised in the transaction that takes the key.
package term

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"sync/atomic"
	"time"

	"ospreyslip/internal/state"
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
	store    *state.Client
	timing   Timing
	base     time.Time
	until    atomic.Int64 // holds the term until base+until
	asked    atomic.Int64 // for the last promises of all others, at base+asked
	holder   atomic.Pointer[Holder]
	heard    atomic.Int64  // of the term, from the state service, at base+heard
	promised promise       // to another node
	token    atomic.Uint64 // of the term that this node holds, as raised since

	// AllPromise asks all other nodes for a promise; nil means that there are
	// none to be had.
	AllPromise func(ctx context.Context, token uint64) bool
}

// NewKeeper makes a keeper for a node.
func NewKeeper(node string, store *state.Client, timing Timing) *Keeper {
	now := time.Now()
	k := &Keeper{node: node, life: rand.Text(), store: store, timing: timing, base: now}
	// An earlier life of this node may have promised something just before
	// its end. Nobody remembers, so that this one waits it out.
	k.promised.until = now.Add(timing.Lease)
	k.promised.fromEarlier = true
	return k
}

// Valid tells whether this node holds the term at this moment, by its own
// clock and counted from when the last good renewal was sent.
func (k *Keeper) Valid() bool {
	return time.Since(k.base) < time.Duration(k.until.Load())
}

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
func (k *Keeper) Raised(token uint64) { k.token.Store(token) }

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

// Run campaigns until the context ends. For each term it calls lead, whose
// context ends with the term, and waits for its return before going on.
func (k *Keeper) Run(ctx context.Context, lead func(context.Context, Term)) {
	var standDown time.Time
	for ctx.Err() == nil {
		asked := time.Now()
		s, err := k.read(ctx)
		if err != nil {
			slog.Debug("term not read", "reason", err)
			k.pause(ctx)
			continue
		}
		k.holder.Store(s.holder)
		k.listened(asked)
		k.promised.know(s.token)
		// Our own key from an earlier life is free to take: its holder is gone.
		own := s.holder != nil && s.holder.Node == k.node
		if s.holder != nil && !own {
			k.follow(ctx, s.revision, k.timing.WatchWait)
			continue
		}
		now, first := time.Now(), own || s.tokenRevision == 0
		if left := max(standDown.Sub(now), k.promised.left(now, first)); left > 0 {
			k.follow(ctx, s.revision, min(left, k.timing.WatchWait))
			continue
		}
		t, lease, sent, err := k.take(ctx, s, first)
		if err != nil {
			slog.Debug("term not taken", "reason", err)
			k.pause(ctx)
			continue
		}
		if k.hold(ctx, t, lease, sent, lead) == resigned {
			standDown = time.Now().Add(2 * k.timing.Lease)
		}
	}
}

// stored is what the state service has of the term.
type stored struct {
	holder         *Holder // nil if nobody holds it
	holderRevision uint64
	token          uint64 // the highest ever given out
	tokenRevision  uint64 // 0 if nobody ever held it
	revision       uint64 // as of which all this was read
}

func (k *Keeper) read(ctx context.Context) (stored, error) {
	pairs, revision, err := k.store.List(ctx, prefix)
	if err != nil {
		return stored{}, err
	}
	s := stored{revision: revision}
	for _, p := range pairs {
		var into any
		switch p.Key {
		case HolderKey:
			s.holder, s.holderRevision = new(Holder), p.Revision
			into = s.holder
		case TokenKey:
			s.tokenRevision = p.Revision
			into = &s.token
		default:
			continue
		}
		if err := json.Unmarshal(p.Value, into); err != nil {
			return stored{}, fmt.Errorf("%s: %w", p.Key, err)
		}
	}
	return s, nil
}

// follow waits until something about the term changes.
func (k *Keeper) follow(ctx context.Context, after uint64, wait time.Duration) {
	_, changes, err := k.store.Watch(ctx, prefix, after, wait)
	if err != nil && !errors.Is(err, state.ErrCompacted) {
		k.pause(ctx)
		return
	}
	k.listened(time.Now())
	for _, c := range changes {
		if c.Remove == HolderKey {
			k.holder.Store(nil)
		}
	}
}

// take campaigns for the term on what was read of it. It returns the term, its lease and
// when that was asked for. First is true if no promise of an earlier life can matter.
func (k *Keeper) take(ctx context.Context, s stored, first bool) (Term, uint64, time.Time, error) {
	sent := time.Now()
	lease, err := k.store.Grant(ctx, k.timing.Lease)
	if err != nil {
		return Term{}, 0, sent, fmt.Errorf("grant: %w", err)
	}
	h := Holder{Node: k.node, Life: k.life, Token: s.token + 1}
	value, _ := json.Marshal(h)
	next, _ := json.Marshal(h.Token)
	if !k.promised.campaign(time.Now(), first, s.token) {
		_ = k.store.Revoke(ctx, lease)
		return Term{}, 0, sent, errors.New("promised not to")
	}
	rev, failed, err := k.store.Commit(ctx,
		[]state.Guard{{Key: HolderKey, Revision: s.holderRevision}, {Key: TokenKey, Revision: s.tokenRevision}},
		[]state.Write{{Set: HolderKey, Value: value, Lease: lease}, {Set: TokenKey, Value: next}})
	if !errors.Is(err, state.ErrUnknown) {
		k.promised.settled()
	}
	if err == nil && len(failed) == 0 {
		k.promised.know(h.Token)
		return Term{Token: h.Token, Revision: rev, TokenRevision: rev, Since: time.Now()}, lease, sent, nil
	}
	// An unknown outcome is not pursued: should the transaction be applied
	// late, its lease is no longer renewed and the key falls free by itself.
	// Ending the lease at once keeps that from costing a whole lease.
	drop, cancel := context.WithTimeout(ctx, k.timing.Retry)
	defer cancel()
	_ = k.store.Revoke(drop, lease)
	return Term{}, 0, sent, errors.Join(err, fmt.Errorf("guards failed: %v", failed))
}

// mostRenewals is how many renewals may be without an answer at a time: as many as are
// begun while one counts. With fewer, slow answers would leave gaps.
const mostRenewals = 5

// resigned is why a term ends when lead returns by itself.
const resigned = "resigned"

// hold keeps the term until it can no longer be proven, and tells why it ended.
func (k *Keeper) hold(ctx context.Context, t Term, lease uint64, sent time.Time, lead func(context.Context, Term)) (reason string) {
	k.extend(sent)
	if !k.Valid() {
		return "taken too slowly"
	}
	self := &Holder{Node: k.node, Life: k.life, Token: t.Token}
	k.listened(time.Now())
	k.holder.Store(self)
	k.token.Store(t.Token)
	slog.Info("term taken", "term", t.Token)
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, t)
	}()
	reason = k.renew(leadCtx, lease, t.Token, done)
	k.until.Store(0)
	k.holder.CompareAndSwap(self, nil)
	stop()
	<-done
	slog.Info("term ended", "term", t.Token, "reason", reason)
	drop, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.Retry)
	defer cancel()
	_ = k.store.Revoke(drop, lease)
	return reason
}

// renew keeps the lease. While the state service does not answer, promises of
// all other nodes take its place: see docs/design.md for why that is safe.
func (k *Keeper) renew(ctx context.Context, lease, token uint64, done <-chan struct{}) (reason string) {
	tick := time.NewTicker(k.timing.Renew)
	defer tick.Stop()
	type outcome struct {
		sent time.Time
		err  error
	}
	renewals, promises := make(chan outcome, mostRenewals), make(chan outcome, 1)
	renewing, asking := 0, false
	good := time.Now()
	tried, asked := good, good // a refusal comes at once, and must not be asked for again at once
	for {
		select {
		case <-ctx.Done():
			return "shutting down"
		case <-done:
			return resigned
		case o := <-renewals:
			renewing--
			switch {
			case o.err == nil && o.sent.After(good):
				good = o.sent
				k.extend(o.sent)
			case o.err == nil: // one that was sent later has been answered already
			case errors.Is(o.err, state.ErrNoLease):
				return "lease ended"
			default:
				slog.Debug("renewal failed", "term", token, "reason", o.err)
			}
		case o := <-promises:
			asking = false
			// Once uncovered, the holder may not go on: another may have taken
			// the term in between and have promised nothing against itself.
			if o.err == nil && k.Valid() {
				k.extend(o.sent)
				k.asked.Store(int64(o.sent.Sub(k.base)))
			}
		case <-tick.C:
		}
		now := time.Now()
		left := time.Duration(k.until.Load()) - now.Sub(k.base)
		if left <= 0 {
			return "neither renewed nor promised"
		}
		// On a busy processor an answer may take most of the time for which it counts: the
		// next try does not wait for it, and it is not given up with those before.
		if renewing < mostRenewals && now.Sub(tried) >= k.timing.Renew*9/10 {
			renewing++
			tried = now
			go func() {
				try, cancel := context.WithTimeout(ctx, k.timing.Safe)
				defer cancel()
				renewals <- outcome{now, k.store.Renew(try, lease)}
			}()
		}
		if !asking && k.AllPromise != nil && now.Sub(good) >= 2*k.timing.Renew && now.Sub(asked) >= k.timing.Renew*9/10 {
			asking, asked = true, now
			go func() {
				try, cancel := context.WithTimeout(ctx, min(left, 3*k.timing.Renew))
				defer cancel()
				o := outcome{sent: now}
				if !k.AllPromise(try, k.token.Load()) {
					o.err = errors.New("not promised")
				}
				promises <- o
			}()
		}
	}
}

// Promise decides whether this node promises not to take the term for the time of
// one lease, as the term's holder asks. It does so only while the state service
// does not answer it either: otherwise the holder's trouble is its own.
func (k *Keeper) Promise(ctx context.Context, token uint64) bool {
	if k.Valid() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.timing.Renew)
	defer cancel()
	if _, _, err := k.store.Get(ctx, HolderKey); err == nil || errors.Is(err, state.ErrBusy) {
		return false // a service that is only busy still takes cancellations
	}
	if !k.promised.give(time.Now(), k.timing.Lease, token) {
		return false
	}
	if h := k.holder.Load(); h != nil && h.Token <= token {
		k.listened(time.Now()) // the holder itself has told of the term
	}
	return true
}

// extend takes in that a renewal, or the promises, asked for at a moment hold. What came
// before may hold for longer.
func (k *Keeper) extend(sent time.Time) {
	k.until.Store(max(k.until.Load(), int64(sent.Add(k.timing.Safe).Sub(k.base))))
}

// pause spreads the tries of several nodes.
func (k *Keeper) pause(ctx context.Context) {
	wait := k.timing.Retry/2 + mrand.N(k.timing.Retry)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
