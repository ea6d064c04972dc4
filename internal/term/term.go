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
	Token     uint64
	Mark      uint64 // revision of HolderKey
	TokenMark uint64 // revision of TokenKey
	Since     time.Time
}

// Timing is how long the lease lasts and how it is kept.
type Timing struct {
	Lease, Renew, Safe, WatchWait, Retry time.Duration
}

// Keeper campaigns for the term and keeps it.
type Keeper struct {
	node   string
	life   string
	store  *state.Client
	timing Timing
	base   time.Time
	until  atomic.Int64 // holds the term until base+until
	holder atomic.Pointer[Holder]
	// Eligible says whether this node should campaign; nil means always.
	Eligible func() bool
}

// NewKeeper makes a keeper for a node.
func NewKeeper(node string, store *state.Client, timing Timing) *Keeper {
	return &Keeper{node: node, life: rand.Text(), store: store, timing: timing, base: time.Now()}
}

// Valid tells whether this node holds the term at this moment, by its own
// clock and counted from when the last good renewal was sent.
func (k *Keeper) Valid() bool {
	return time.Since(k.base) < time.Duration(k.until.Load())
}

// Leader names the node that held the term when last seen, or is empty.
func (k *Keeper) Leader() string {
	if h := k.holder.Load(); h != nil {
		return h.Node
	}
	return ""
}

// Run campaigns until the context ends. For each term it calls lead, whose
// context ends with the term, and waits for its return before going on.
func (k *Keeper) Run(ctx context.Context, lead func(context.Context, Term)) {
	for ctx.Err() == nil {
		holder, mark, tokenMark, token, rev, err := k.read(ctx)
		if err != nil {
			slog.Debug("term not read", "reason", err)
			k.holder.Store(nil)
			k.pause(ctx)
			continue
		}
		k.holder.Store(holder)
		// Our own key from an earlier life is free to take: its holder is gone.
		if holder != nil && holder.Node != k.node || k.Eligible != nil && !k.Eligible() {
			k.follow(ctx, rev)
			continue
		}
		t, lease, sent, err := k.take(ctx, mark, tokenMark, token)
		if err != nil {
			slog.Debug("term not taken", "reason", err)
			k.pause(ctx)
			continue
		}
		k.hold(ctx, t, lease, sent, lead)
	}
}

func (k *Keeper) read(ctx context.Context) (h *Holder, mark, tokenMark, token, rev uint64, err error) {
	pairs, rev, err := k.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, 0, 0, 0, err
	}
	for _, p := range pairs {
		switch p.Key {
		case HolderKey:
			h, mark = new(Holder), p.Mark
			if err := json.Unmarshal(p.Value, h); err != nil {
				return nil, 0, 0, 0, 0, fmt.Errorf("%s: %w", HolderKey, err)
			}
		case TokenKey:
			tokenMark = p.Mark
			if err := json.Unmarshal(p.Value, &token); err != nil {
				return nil, 0, 0, 0, 0, fmt.Errorf("%s: %w", TokenKey, err)
			}
		}
	}
	return h, mark, tokenMark, token, rev, nil
}

// follow waits until something about the term changes.
func (k *Keeper) follow(ctx context.Context, after uint64) {
	_, changes, err := k.store.Watch(ctx, prefix, after, k.timing.WatchWait)
	if err != nil && !errors.Is(err, state.ErrCompacted) {
		k.pause(ctx)
		return
	}
	for _, c := range changes {
		if c.Remove == HolderKey {
			k.holder.Store(nil)
		}
	}
}

func (k *Keeper) take(ctx context.Context, mark, tokenMark, token uint64) (Term, uint64, time.Time, error) {
	sent := time.Now()
	lease, err := k.store.Grant(ctx, k.timing.Lease)
	if err != nil {
		return Term{}, 0, sent, fmt.Errorf("grant: %w", err)
	}
	h := Holder{Node: k.node, Life: k.life, Token: token + 1}
	value, _ := json.Marshal(h)
	next, _ := json.Marshal(h.Token)
	rev, failed, err := k.store.Commit(ctx,
		[]state.Guard{{Key: HolderKey, Mark: mark}, {Key: TokenKey, Mark: tokenMark}},
		[]state.Write{{Set: HolderKey, Value: value, Lease: lease}, {Set: TokenKey, Value: next}})
	if err == nil && len(failed) == 0 {
		return Term{Token: h.Token, Mark: rev, TokenMark: rev, Since: time.Now()}, lease, sent, nil
	}
	// An unknown outcome is not pursued: should the transaction be applied
	// late, its lease is no longer renewed and the key falls free by itself.
	// Ending the lease at once keeps that from costing a whole lease.
	drop, cancel := context.WithTimeout(ctx, k.timing.Retry)
	defer cancel()
	_ = k.store.Revoke(drop, lease)
	return Term{}, 0, sent, errors.Join(err, fmt.Errorf("guards failed: %v", failed))
}

// hold renews the lease until that fails for too long.
func (k *Keeper) hold(ctx context.Context, t Term, lease uint64, sent time.Time, lead func(context.Context, Term)) {
	k.extend(sent)
	if !k.Valid() {
		return
	}
	self := &Holder{Node: k.node, Life: k.life, Token: t.Token}
	k.holder.Store(self)
	slog.Info("term taken", "term", t.Token)
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, t)
	}()
	reason := k.renew(leadCtx, lease, done)
	k.until.Store(0)
	k.holder.CompareAndSwap(self, nil)
	stop()
	<-done
	slog.Info("term ended", "term", t.Token, "reason", reason)
	drop, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.Retry)
	defer cancel()
	_ = k.store.Revoke(drop, lease)
}

func (k *Keeper) renew(ctx context.Context, lease uint64, done <-chan struct{}) (reason string) {
	tick := time.NewTicker(k.timing.Renew)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return "shutting down"
		case <-done:
			return "resigned"
		case <-tick.C:
		}
		sent := time.Now()
		left := time.Duration(k.until.Load()) - time.Since(k.base)
		if left <= 0 {
			return "renewals failed"
		}
		// A renewal may not outlast the term, so that its end is noticed in time.
		try, cancel := context.WithTimeout(ctx, min(left, 2*k.timing.Renew))
		err := k.store.Renew(try, lease)
		cancel()
		switch {
		case err == nil:
			k.extend(sent)
		case errors.Is(err, state.ErrNoLease):
			return "lease ended"
		default:
			slog.Debug("renewal failed", "reason", err)
		}
	}
}

func (k *Keeper) extend(sent time.Time) {
	k.until.Store(int64(sent.Add(k.timing.Safe).Sub(k.base)))
}

// pause spreads the tries of several nodes.
func (k *Keeper) pause(ctx context.Context) {
	wait := k.timing.Retry/2 + mrand.N(k.timing.Retry)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
