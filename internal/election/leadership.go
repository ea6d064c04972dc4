package election

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// maxRenewalsInFlight is how many renewals may be without an answer at a time: as many as are
// begun while one counts. With fewer, slow answers would leave gaps.
const maxRenewalsInFlight = 5

// resigned is why a term ends when lead returns by itself.
const resigned = "resigned"

// holderKeyLost is why a term ends when the holder's key is gone, or another's, though its lease
// is renewed.
const holderKeyLost = "holder key lost"

// watchHolderKey looks at the holder's key once in a term lease, and closes lost when it is
// not this term's any more. Without it, a holder whose key the state service has lost
// would go on for as long as its lease is renewed, beside the next one.
func (k *Elector) watchHolderKey(ctx context.Context, t Term, lost chan<- struct{}) {
	tick := time.NewTicker(k.timing.LeaseDuration)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p, found, err := k.store.Get(ctx, HolderKey)
		if err != nil || found && p.Revision == t.HolderRevision {
			continue
		}
		if ctx.Err() == nil && k.IsLeader() {
			k.ReportLoss(detection.Loss{Kind: detection.HolderLost, Key: HolderKey, Known: t.HolderRevision, Found: p.Revision})
		}
		close(lost)
		return
	}
}

// lead keeps the term until it can no longer be proven, and tells why it ended.
func (k *Elector) lead(ctx context.Context, t Term, lease uint64, sent time.Time, lead func(context.Context, Term)) (reason string) {
	k.validity.begin(sent.Sub(k.clockStart), k.timing.ValidFor)
	if !k.IsLeader() {
		k.validity.end()
		return "taken too slowly"
	}
	self := &holderRecord{Node: k.node, Incarnation: k.incarnation, FencingToken: t.FencingToken}
	k.lastHolder = *self
	k.noteContact(time.Now())
	k.observedHolder.Store(self)
	k.ownToken.Store(t.FencingToken)
	slog.Info("term taken", "term", t.FencingToken)
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, t)
	}()
	lost := make(chan struct{})
	go k.watchHolderKey(leadCtx, t, lost)
	reason = k.keepLease(leadCtx, lease, t.FencingToken, done, lost)
	k.validity.end()
	k.observedHolder.CompareAndSwap(self, nil)
	stop()
	<-done
	slog.Info("term ended", "term", t.FencingToken, "reason", reason)
	drop, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.RetryPeriod)
	defer cancel()
	_ = k.store.RevokeLease(drop, lease)
	return reason
}
