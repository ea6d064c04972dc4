package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
)

// voidEarlierGrants asks all others whether anybody may rely on what an earlier life of this node
// has promised, and returns true if nobody does: then it need not be waited out.
func (k *Elector) voidEarlierGrants(ctx context.Context) bool {
	if k.NoPeerReliesOnGrants == nil || !k.grantor.boundByEarlierIncarnation(k.now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.timing.RenewPeriod)
	defer cancel()
	if !k.NoPeerReliesOnGrants(ctx) {
		return false
	}
	k.grantor.voidEarlierGrants(k.now())
	slog.Info("promises of an earlier life are void", "reason", "no other node relies on one")
	return true
}

// GrantPeerLease decides whether this node promises not to take the term for the time of
// one lease, as the term's holder asks. It does so only while the state service
// does not answer it either: otherwise the holder's trouble is its own.
func (k *Elector) GrantPeerLease(ctx context.Context, token uint64) bool {
	if k.IsLeader() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.timing.RenewPeriod)
	defer cancel()
	if _, _, err := k.store.Get(ctx, HolderKey); err == nil || errors.Is(err, kvstore.ErrRateLimited) {
		return false // a service that is only busy still takes cancellations
	}
	if !k.grantor.grant(k.now(), k.timing.LeaseDuration, token) {
		return false
	}
	if h := k.observedHolder.Load(); h != nil && h.FencingToken <= token {
		k.noteContact(time.Now()) // the holder itself has told of the term
	}
	return true
}
