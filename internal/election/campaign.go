package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// Run campaigns until the context ends. For each term it calls lead, whose
// context ends with the term, and waits for its return before going on.
func (k *Elector) Run(ctx context.Context, lead func(context.Context, Term)) {
	var standDown time.Time
	for ctx.Err() == nil {
		asked := time.Now()
		s, err := k.readStored(ctx)
		if err != nil {
			slog.Debug("term not read", "reason", err)
			k.pause(ctx)
			continue
		}
		s.token = k.highestToken(s.token)
		k.dropSucceededHolder(&s)
		k.observedHolder.Store(s.holder)
		k.noteContact(asked)
		// Our own key from an earlier life is free to take: its holder is gone.
		own := s.holder != nil && s.holder.Node == k.node
		if s.holder != nil && !own {
			k.awaitChange(ctx, s.revision, k.timing.WatchTimeout)
			continue
		}
		if s.holder == nil {
			lost, err := k.revokeLastLease(ctx)
			if err != nil {
				slog.Debug("lease of the last holder not ended", "reason", err)
				k.pause(ctx)
				continue
			}
			if lost {
				standDown = time.Now().Add(k.timing.LeaseDuration)
			}
		}
		now, first := time.Now(), own || s.tokenRevision == 0 && k.grantor.highestToken() == 0
		if left := max(standDown.Sub(now), k.grantor.campaignDelay(k.now(), first)); left > 0 {
			if k.voidEarlierGrants(ctx) {
				continue
			}
			if k.grantor.boundByEarlierIncarnation(k.now()) {
				left = min(left, k.timing.RetryPeriod/2) // others may answer soon
			}
			k.awaitChange(ctx, s.revision, min(left, k.timing.WatchTimeout))
			continue
		}
		t, lease, sent, err := k.campaign(ctx, s, first)
		if err != nil {
			slog.Debug("term not taken", "reason", err)
			k.pause(ctx)
			continue
		}
		if k.lead(ctx, t, lease, sent, lead) == resigned {
			standDown = time.Now().Add(2 * k.timing.LeaseDuration)
		}
	}
}

// highestToken takes in the stored token. Should the state service have lost it, or have
// been put back to an older one, the highest that this node knows of takes its place: no
// token may be given out twice.
func (k *Elector) highestToken(stored uint64) uint64 {
	if known := k.grantor.highestToken(); stored < known {
		k.ReportLoss(detection.Loss{Kind: detection.TokenBack, Key: TokenKey, Known: known, Found: stored})
		return known
	}
	k.grantor.observeToken(stored)
	return stored
}

// dropSucceededHolder takes a holder that others have followed for none: the service was put back to
// before that, and the lease that its key was tied to is over, so that nothing else would
// ever remove the key.
func (k *Elector) dropSucceededHolder(s *stored) {
	switch {
	case s.holder == nil:
	case s.holder.FencingToken < k.lastHolder.FencingToken:
		s.holder = nil
	default:
		k.lastHolder = *s.holder
	}
}

// revokeLastLease ends the lease of the last holder known, when nobody holds the term. Mostly it
// has ended by itself, and the key with it. If it is alive, then the key was lost: the
// holder goes on renewing it and has to learn that it is over.
func (k *Elector) revokeLastLease(ctx context.Context) (lost bool, err error) {
	if k.lastHolder.Lease == 0 || k.lastHolder.Incarnation == k.incarnation {
		return false, nil
	}
	alive, err := k.store.RevokeLeaseIfAlive(ctx, k.lastHolder.Lease)
	if err != nil {
		return false, err
	}
	if alive {
		k.ReportLoss(detection.Loss{Kind: detection.HolderLost, Key: HolderKey, Known: k.lastHolder.FencingToken})
	}
	k.lastHolder.Lease = 0
	return alive, nil
}

// campaign campaigns for the term on what was read of it. It returns the term, its lease and
// when that was asked for. First is true if no promise of an earlier life can matter.
func (k *Elector) campaign(ctx context.Context, s stored, first bool) (Term, uint64, time.Time, error) {
	sent := time.Now()
	lease, err := k.store.GrantLease(ctx, k.timing.LeaseDuration)
	if err != nil {
		return Term{}, 0, sent, fmt.Errorf("grant: %w", err)
	}
	h := holderRecord{Node: k.node, Incarnation: k.incarnation, FencingToken: s.token + 1, Lease: lease}
	value, _ := json.Marshal(h)
	next, _ := json.Marshal(h.FencingToken)
	if !k.grantor.beginCampaign(k.now(), first, s.token) {
		_ = k.store.RevokeLease(ctx, lease)
		return Term{}, 0, sent, errors.New("promised not to")
	}
	rev, failed, err := k.store.Commit(ctx,
		[]kvstore.Guard{{Key: HolderKey, Revision: s.holderRevision}, {Key: TokenKey, Revision: s.tokenRevision}},
		[]kvstore.Write{{Set: HolderKey, Value: value, Lease: lease}, {Set: TokenKey, Value: next}})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		k.grantor.campaignSettled()
	}
	if err == nil && len(failed) == 0 {
		k.grantor.observeToken(h.FencingToken)
		return Term{FencingToken: h.FencingToken, HolderRevision: rev, TokenRevision: rev, Since: time.Now()}, lease, sent, nil
	}
	// An unknown outcome is not pursued: should the transaction be applied
	// late, its lease is no longer renewed and the key falls free by itself.
	// Ending the lease at once keeps that from costing a whole lease.
	drop, cancel := context.WithTimeout(ctx, k.timing.RetryPeriod)
	defer cancel()
	_ = k.store.RevokeLease(drop, lease)
	return Term{}, 0, sent, errors.Join(err, fmt.Errorf("guards failed: %v", failed))
}

// pause spreads the tries of several nodes.
func (k *Elector) pause(ctx context.Context) {
	wait := k.timing.RetryPeriod/2 + mrand.N(k.timing.RetryPeriod)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
