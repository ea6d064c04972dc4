package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// mostRenewals is how many renewals may be without an answer at a time: as many as are
// begun while one counts. With fewer, slow answers would leave gaps.
const mostRenewals = 5

// resigned is why a term ends when lead returns by itself.
const resigned = "resigned"

// keyLost is why a term ends when the holder's key is gone, or another's, though its lease
// is renewed.
const keyLost = "holder key lost"

// watchOwnKey looks at the holder's key once in a term lease, and closes lost when it is
// not this term's any more. Without it, a holder whose key the state service has lost
// would go on for as long as its lease is renewed, beside the next one.
func (k *Keeper) watchOwnKey(ctx context.Context, t Term, lost chan<- struct{}) {
	tick := time.NewTicker(k.timing.Lease)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p, found, err := k.store.Get(ctx, HolderKey)
		if err != nil || found && p.Revision == t.Revision {
			continue
		}
		if ctx.Err() == nil && k.Valid() {
			k.Lost(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: t.Revision, Found: p.Revision})
		}
		close(lost)
		return
	}
}

// hold keeps the term until it can no longer be proven, and tells why it ended.
func (k *Keeper) hold(ctx context.Context, t Term, lease uint64, sent time.Time, lead func(context.Context, Term)) (reason string) {
	k.cover.begin(sent.Sub(k.base), k.timing.Safe)
	if !k.Valid() {
		k.cover.end()
		return "taken too slowly"
	}
	self := &Holder{Node: k.node, Life: k.life, Token: t.Token}
	k.last = *self
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
	lost := make(chan struct{})
	go k.watchOwnKey(leadCtx, t, lost)
	reason = k.renew(leadCtx, lease, t.Token, done, lost)
	k.cover.end()
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
func (k *Keeper) renew(ctx context.Context, lease, token uint64, done, lost <-chan struct{}) (reason string) {
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
		case <-lost:
			return keyLost
		case o := <-renewals:
			renewing--
			switch {
			case o.err == nil && o.sent.After(good):
				good = o.sent
				k.cover.renewed(o.sent.Sub(k.base), k.timing.Safe)
			case o.err == nil: // one that was sent later has been answered already
			case errors.Is(o.err, kvstore.ErrNoLease):
				if k.Valid() { // renewed in time, it cannot end by itself
					k.Lost(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: token})
				}
				return "lease ended"
			default:
				slog.Debug("renewal failed", "term", token, "reason", o.err)
			}
		case o := <-promises:
			asking = false
			if o.err == nil && k.cover.promised(k.now(), o.sent.Sub(k.base), k.timing.Safe) {
				k.asked.Store(int64(o.sent.Sub(k.base)))
			}
		case <-tick.C:
		}
		now := time.Now()
		left := k.cover.left(now.Sub(k.base))
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
