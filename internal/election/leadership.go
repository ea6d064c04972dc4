package election

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// endReason is why a term has ended, as the log has it.
type endReason string

const (
	wonTooSlowly  endReason = "taken too slowly"             // the lease was no longer valid when it was
	shuttingDown  endReason = "shutting down"                // Run's context has ended
	resigned      endReason = "resigned"                     // lead has returned by itself
	holderKeyLost endReason = "holder key lost"              // it is gone or another's, though the lease is renewed
	leaseEnded    endReason = "lease ended"                  // in the store
	validityEnded endReason = "neither renewed nor promised" // neither the store nor all peers have answered in time
)

// serve leads for a term until its lease can no longer be proven valid, and tells why it ended.
func (e *Elector) serve(ctx context.Context, won wonTerm, lead LeadFunc) endReason {
	e.validity.begin(e.clockAt(won.requestedAt), e.timing.ValidFor)
	if !e.IsLeader() {
		e.validity.end()
		return wonTooSlowly
	}
	self := &holderRecord{Node: e.node, Incarnation: e.incarnation, FencingToken: won.FencingToken}
	e.lastHolder = *self
	e.noteContact(time.Now())
	e.observedHolder.Store(self)
	e.ownToken.Store(won.FencingToken)
	slog.Info("term taken", "term", won.FencingToken)

	leadCtx, stop := context.WithCancel(ctx)
	leadReturned := make(chan struct{})
	go func() {
		defer close(leadReturned)
		lead(leadCtx, won.Term)
	}()
	// It ends with leadCtx; nobody waits for the answer to its last read.
	keyLost := make(chan struct{})
	go e.watchHolderKey(leadCtx, won.Term, keyLost)

	reason := newLeaseKeeper(e, won).run(leadCtx, leadReturned, keyLost)
	e.validity.end()
	e.observedHolder.CompareAndSwap(self, nil)
	stop()
	<-leadReturned
	slog.Info("term ended", "term", won.FencingToken, "reason", string(reason))
	e.tryRevokeLease(context.WithoutCancel(ctx), won.lease)
	return reason
}

// watchHolderKey reads the holder key once in a lease duration, and closes lost when it is not
// this term's any more. Without it, a leader whose key the store has lost would go on for as long
// as its lease is renewed, beside the next one.
func (e *Elector) watchHolderKey(ctx context.Context, term Term, lost chan<- struct{}) {
	tick := time.NewTicker(e.timing.LeaseDuration)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		current, found, err := e.store.Get(ctx, HolderKey)
		if err != nil || found && current.Revision == term.HolderRevision {
			continue
		}
		if ctx.Err() == nil && e.IsLeader() {
			e.ReportLoss(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: term.HolderRevision, Found: current.Revision})
		}
		close(lost)
		return
	}
}
