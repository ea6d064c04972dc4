package election

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// endReason is the reason for which a term has ended, as it is logged.
type endReason string

const (
	wonTooSlowly    endReason = "taken too slowly"             // the validity had expired by the time the term was won
	shuttingDown    endReason = "shutting down"                // the context of Run has ended
	resigned        endReason = "resigned"                     // the LeadFunc returned by itself
	holderKeyLost   endReason = "holder key lost"              // the key is gone or another controller's, although the lease is renewed
	leaseNotFound   endReason = "lease ended"                  // the store no longer has the lease
	validityExpired endReason = "neither renewed nor promised" // the validity expired: neither the store nor all peers have extended it
)

// serveTerm runs lead for a term and returns the reason for the end of the term. The term ends at
// the latest when its lease can no longer be proven valid.
func (e *Elector) serveTerm(ctx context.Context, won wonTerm, lead LeadFunc) endReason {
	e.validity.start(e.clockAt(won.requestedAt), e.timing.ValidFor)
	if !e.IsLeader() {
		e.validity.end()
		return wonTooSlowly
	}
	ownRecord := &holderRecord{Controller: e.controller, Incarnation: e.incarnation, FencingToken: won.FencingToken}
	e.lastHolder = *ownRecord
	e.setHolderObservedAt(time.Now())
	e.observedHolder.Store(ownRecord)
	e.ownToken.Store(won.FencingToken)
	slog.Info("term taken", "term", won.FencingToken)

	leadCtx, stop := context.WithCancel(ctx)
	leadReturned := make(chan struct{})
	go func() {
		defer close(leadReturned)
		lead(leadCtx, won.Term)
	}()
	// The watcher ends with leadCtx. serveTerm does not wait for its last read.
	keyLost := make(chan struct{})
	go e.watchHolderKey(leadCtx, won.Term, keyLost)

	reason := newLeaseKeeper(e, won).run(leadCtx, leadReturned, keyLost)
	e.validity.end()
	e.observedHolder.CompareAndSwap(ownRecord, nil)
	stop()
	<-leadReturned
	slog.Info("term ended", "term", won.FencingToken, "reason", string(reason))
	e.tryRevokeLease(context.WithoutCancel(ctx), won.lease)
	return reason
}

// watchHolderKey reads the holder key once per lease duration and closes lost when the key no
// longer belongs to this term. Without this check, a leader whose key the store has lost would
// lead alongside its successor for as long as it renews its lease.
func (e *Elector) watchHolderKey(ctx context.Context, term Term, lost chan<- struct{}) {
	ticker := time.NewTicker(e.timing.LeaseDuration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current, found, err := e.store.Get(ctx, HolderKey)
		if err != nil || found && current.Revision == term.HolderRevision {
			continue
		}
		if ctx.Err() == nil && e.IsLeader() {
			e.ReportLoss(detection.Evidence{Kind: detection.HolderKeyLost, Key: HolderKey, Known: term.HolderRevision, Found: current.Revision})
		}
		close(lost)
		return
	}
}
