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
		s.token = k.atLeastKnown(s.token)
		k.dropPutBack(&s)
		k.holder.Store(s.holder)
		k.listened(asked)
		// Our own key from an earlier life is free to take: its holder is gone.
		own := s.holder != nil && s.holder.Node == k.node
		if s.holder != nil && !own {
			k.follow(ctx, s.revision, k.timing.WatchWait)
			continue
		}
		if s.holder == nil {
			lost, err := k.endLast(ctx)
			if err != nil {
				slog.Debug("lease of the last holder not ended", "reason", err)
				k.pause(ctx)
				continue
			}
			if lost {
				standDown = time.Now().Add(k.timing.Lease)
			}
		}
		now, first := time.Now(), own || s.tokenRevision == 0 && k.promised.highest() == 0
		if left := max(standDown.Sub(now), k.promised.left(k.now(), first)); left > 0 {
			if k.releaseEarlier(ctx) {
				continue
			}
			if k.promised.fromEarlier(k.now()) {
				left = min(left, k.timing.Retry/2) // others may answer soon
			}
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

// releaseEarlier asks all others whether anybody may rely on what an earlier life of this node
// has promised, and returns true if nobody does: then it need not be waited out.
func (k *Keeper) releaseEarlier(ctx context.Context) bool {
	if k.NobodyRelies == nil || !k.promised.fromEarlier(k.now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.timing.Renew)
	defer cancel()
	if !k.NobodyRelies(ctx) {
		return false
	}
	k.promised.earlierIsVoid(k.now())
	slog.Info("promises of an earlier life are void", "reason", "no other node relies on one")
	return true
}

// atLeastKnown takes in the stored token. Should the state service have lost it, or have
// been put back to an older one, the highest that this node knows of takes its place: no
// token may be given out twice.
func (k *Keeper) atLeastKnown(stored uint64) uint64 {
	if known := k.promised.highest(); stored < known {
		k.Lost(detection.Evidence{Kind: detection.TokenBack, Key: TokenKey, Known: known, Found: stored})
		return known
	}
	k.promised.know(stored)
	return stored
}

// dropPutBack takes a holder that others have followed for none: the service was put back to
// before that, and the lease that its key was tied to is over, so that nothing else would
// ever remove the key.
func (k *Keeper) dropPutBack(s *stored) {
	switch {
	case s.holder == nil:
	case s.holder.Token < k.last.Token:
		s.holder = nil
	default:
		k.last = *s.holder
	}
}

// endLast ends the lease of the last holder known, when nobody holds the term. Mostly it
// has ended by itself, and the key with it. If it is alive, then the key was lost: the
// holder goes on renewing it and has to learn that it is over.
func (k *Keeper) endLast(ctx context.Context) (lost bool, err error) {
	if k.last.Lease == 0 || k.last.Life == k.life {
		return false, nil
	}
	alive, err := k.store.EndIfAlive(ctx, k.last.Lease)
	if err != nil {
		return false, err
	}
	if alive {
		k.Lost(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: k.last.Token})
	}
	k.last.Lease = 0
	return alive, nil
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
	asked := k.newest.Baseline()
	pairs, revision, err := k.store.List(ctx, prefix)
	if err != nil {
		return stored{}, err
	}
	if e, back := k.newest.Observe(asked, detection.RevisionBack, prefix, revision); back {
		k.Lost(e)
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
	if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
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
	h := Holder{Node: k.node, Life: k.life, Token: s.token + 1, Lease: lease}
	value, _ := json.Marshal(h)
	next, _ := json.Marshal(h.Token)
	if !k.promised.campaign(k.now(), first, s.token) {
		_ = k.store.Revoke(ctx, lease)
		return Term{}, 0, sent, errors.New("promised not to")
	}
	rev, failed, err := k.store.Commit(ctx,
		[]kvstore.Guard{{Key: HolderKey, Revision: s.holderRevision}, {Key: TokenKey, Revision: s.tokenRevision}},
		[]kvstore.Write{{Set: HolderKey, Value: value, Lease: lease}, {Set: TokenKey, Value: next}})
	if !errors.Is(err, kvstore.ErrUnknown) {
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

// pause spreads the tries of several nodes.
func (k *Keeper) pause(ctx context.Context) {
	wait := k.timing.Retry/2 + mrand.N(k.timing.Retry)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
