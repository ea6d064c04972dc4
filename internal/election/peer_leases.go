package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
)

// GrantPeerLease decides whether this node grants the leader with a fencing token a lease, which
// forbids this node to campaign for one lease duration. It does so only while it, too, gets no
// answer from the store, which it tries now: else the leader is cut off alone, and another node
// shall lead.
func (e *Elector) GrantPeerLease(ctx context.Context, token uint64) bool {
	if e.IsLeader() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.timing.RenewPeriod)
	defer cancel()
	if _, _, err := e.store.Get(ctx, HolderKey); err == nil || errors.Is(err, kvstore.ErrRateLimited) {
		return false // a store that is only busy still takes cancellations, which the leader must see
	}
	if !e.grantor.grant(e.clock(), e.timing.LeaseDuration, token) {
		return false
	}
	if holder := e.observedHolder.Load(); holder != nil && holder.FencingToken <= token {
		e.noteContact(time.Now()) // by this request the holder itself has told that it leads
	}
	return true
}

// voidEarlierGrants asks all peers whether any may rely on what an earlier incarnation of this
// node has granted. It returns true if none does: then those grants need not be waited out.
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
	slog.Info("lease grants of an earlier incarnation are void", "reason", "no other node relies on one")
	return true
}
