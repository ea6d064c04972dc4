package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
)

// GrantPeerLease decides whether to grant a lease to the leader with the given fencing token. A
// grant forbids this controller to campaign for one lease duration. The lease is granted only if
// this controller cannot reach the store either, which GrantPeerLease checks by a read. If the
// store responds, only the leader has lost its connection, and another controller should lead.
func (e *Elector) GrantPeerLease(ctx context.Context, token uint64) bool {
	if e.IsLeader() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.timing.RenewPeriod)
	defer cancel()
	// A store that only limits the request rate still accepts cancellations, which the leader must see.
	if _, _, err := e.store.Get(ctx, HolderKey); err == nil || errors.Is(err, kvstore.ErrRateLimited) {
		return false
	}
	if !e.grantor.grant(e.clock(), e.timing.LeaseDuration, token) {
		return false
	}
	if holder := e.observedHolder.Load(); holder != nil && holder.FencingToken <= token {
		e.setHolderObservedAt(time.Now()) // the request shows that the holder still leads
	}
	return true
}

// voidEarlierGrants asks all peers whether they rely on leases that an earlier incarnation of this
// controller may have granted. It returns true if no peer does, in which case this controller no
// longer waits for those leases to expire.
func (e *Elector) voidEarlierGrants(ctx context.Context) bool {
	if e.NoPeerReliesOnGrants == nil || !e.grantor.boundByEarlierIncarnation(e.clock()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.timing.RenewPeriod)
	defer cancel()
	if !e.NoPeerReliesOnGrants(ctx) {
		return false
	}
	e.grantor.voidEarlierGrants(e.clock())
	slog.Info("lease grants of an earlier incarnation are void", "reason", "no other controller relies on one")
	return true
}
