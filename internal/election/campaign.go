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

// Run campaigns until the context ends. For each term that this node wins it calls lead, whose
// context ends with the term, and waits for its return before going on.
func (e *Elector) Run(ctx context.Context, lead LeadFunc) {
	var standDownUntil time.Time // before, the leadership is left to other nodes
	for ctx.Err() == nil {
		stored, err := e.observe(ctx)
		if err != nil {
			slog.Debug("term not read", "reason", err)
			e.pause(ctx)
			continue
		}
		// A key of this node is of an earlier incarnation, which is gone: it is free to take.
		ownKey := stored.heldBy(e.node)
		if stored.holder != nil && !ownKey {
			e.awaitChange(ctx, stored.revision, e.timing.WatchTimeout)
			continue
		}
		if stored.holder == nil {
			wasAlive, err := e.revokeLastLease(ctx)
			if err != nil {
				slog.Debug("lease of the last holder not ended", "reason", err)
				e.pause(ctx)
				continue
			}
			if wasAlive {
				standDownUntil = time.Now().Add(e.timing.LeaseDuration)
			}
		}
		exempt := ownKey || stored.tokenRevision == 0 && e.grantor.highestToken() == 0
		if e.delayCampaign(ctx, &stored, exempt, standDownUntil) {
			continue
		}
		won, err := e.campaign(ctx, &stored, exempt)
		if err != nil {
			slog.Debug("term not taken", "reason", err)
			e.pause(ctx)
			continue
		}
		if e.serve(ctx, won, lead) == resigned {
			standDownUntil = time.Now().Add(2 * e.timing.LeaseDuration)
		}
	}
}

// observe reads who leads, corrects that by what this node knows of lost keys, and notes it.
func (e *Elector) observe(ctx context.Context) (storedElection, error) {
	askedAt := time.Now()
	stored, err := e.readStored(ctx)
	if err != nil {
		return storedElection{}, err
	}
	stored.highestToken = e.highestIssuedToken(stored.highestToken)
	e.dropSucceededHolder(&stored)
	e.observedHolder.Store(stored.holder)
	e.noteContact(askedAt)
	return stored, nil
}

// highestIssuedToken is the highest fencing token ever issued, by the stored one and by what this node
// knows. The latter is higher if the store has lost the token's key or was rolled back: no token
// may be issued twice.
func (e *Elector) highestIssuedToken(stored uint64) uint64 {
	if known := e.grantor.highestToken(); stored < known {
		e.ReportLoss(detection.Evidence{Kind: detection.TokenBack, Key: TokenKey, Known: known, Found: stored})
		return known
	}
	e.grantor.observeToken(stored)
	return stored
}

// dropSucceededHolder treats a holder that others have succeeded as absent. Its key is there
// because the store was rolled back to an earlier state; the lease that it was tied to is over, so
// that nothing else would ever remove it.
func (e *Elector) dropSucceededHolder(stored *storedElection) {
	switch {
	case stored.holder == nil:
	case stored.holder.FencingToken < e.lastHolder.FencingToken:
		stored.holder = nil
	default:
		e.lastHolder = *stored.holder
	}
}

// revokeLastLease ends the lease of the last holder observed, when nobody holds the key. Mostly
// the lease has ended by itself, and the key with it. If it is alive, the key was lost: the
// holder goes on renewing the lease, and learns by this that its term is over.
func (e *Elector) revokeLastLease(ctx context.Context) (wasAlive bool, err error) {
	if e.lastHolder.Lease == 0 || e.lastHolder.Incarnation == e.incarnation {
		return false, nil
	}
	wasAlive, err = e.store.RevokeLeaseIfAlive(ctx, e.lastHolder.Lease)
	if err != nil {
		return false, err
	}
	if wasAlive {
		e.ReportLoss(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: e.lastHolder.FencingToken})
	}
	e.lastHolder.Lease = 0
	return wasAlive, nil
}

// delayCampaign waits for a part of the time in which this node must not campaign, and returns
// false if there is none. After a wait, who leads has to be observed anew.
func (e *Elector) delayCampaign(ctx context.Context, stored *storedElection, exempt bool, standDownUntil time.Time) (delayed bool) {
	wait := max(time.Until(standDownUntil), e.grantor.campaignDelay(e.clock(), exempt))
	if wait <= 0 {
		return false
	}
	if e.voidEarlierGrants(ctx) {
		return true
	}
	if e.grantor.boundByEarlierIncarnation(e.clock()) {
		wait = min(wait, e.timing.RetryPeriod/2) // the peers that have not answered may do so soon
	}
	e.awaitChange(ctx, stored.revision, min(wait, e.timing.WatchTimeout))
	return true
}

// wonTerm is a term that this node has just won.
type wonTerm struct {
	Term
	lease       uint64
	requestedAt time.Time // when the lease was, from which its validity counts
}

// campaign tries to win the next term, by a transaction that takes the holder key and raises the
// fencing token if nothing has changed since both were read. Exempt is as in
// rules.Grantor.CampaignDelay.
func (e *Elector) campaign(ctx context.Context, stored *storedElection, exempt bool) (wonTerm, error) {
	requestedAt := time.Now()
	lease, err := e.store.GrantLease(ctx, e.timing.LeaseDuration)
	if err != nil {
		return wonTerm{}, err
	}
	token := stored.highestToken + 1
	holder, _ := json.Marshal(holderRecord{Node: e.node, Incarnation: e.incarnation, FencingToken: token, Lease: lease})
	nextToken, _ := json.Marshal(token)
	if !e.grantor.beginCampaign(e.clock(), exempt, stored.highestToken) {
		_ = e.store.RevokeLease(ctx, lease)
		return wonTerm{}, errBoundByGrant
	}
	revision, failed, err := e.store.Commit(ctx,
		[]kvstore.Guard{{Key: HolderKey, Revision: stored.holderRevision}, {Key: TokenKey, Revision: stored.tokenRevision}},
		[]kvstore.Write{{Set: HolderKey, Value: holder, Lease: lease}, {Set: TokenKey, Value: nextToken}})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		e.grantor.campaignSettled()
	}
	if err == nil && len(failed) == 0 {
		e.grantor.observeToken(token)
		term := Term{FencingToken: token, HolderRevision: revision, TokenRevision: revision, Since: time.Now()}
		return wonTerm{Term: term, lease: lease, requestedAt: requestedAt}, nil
	}
	// An unknown outcome is not pursued: should the transaction be executed late, nobody renews
	// its lease, and the key falls free by itself. To revoke the lease at once keeps that from
	// costing a whole lease duration.
	e.tryRevokeLease(ctx, lease)
	return wonTerm{}, errors.Join(err, fmt.Errorf("guards failed: %v", failed))
}

// errBoundByGrant is that this node has granted a peer lease since it decided to campaign.
var errBoundByGrant = errors.New("bound by a peer lease")

// tryRevokeLease revokes a lease that nobody renews any more, to save the wait for its end.
func (e *Elector) tryRevokeLease(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, e.timing.RetryPeriod)
	defer cancel()
	_ = e.store.RevokeLease(ctx, lease)
}

// awaitChange waits until a key of the election changes after a revision, or for a duration.
func (e *Elector) awaitChange(ctx context.Context, after uint64, wait time.Duration) {
	_, changes, err := e.store.Watch(ctx, keyPrefix, after, wait)
	if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
		e.pause(ctx)
		return
	}
	e.noteContact(time.Now())
	for _, change := range changes {
		if change.Remove == HolderKey {
			e.observedHolder.Store(nil)
		}
	}
}

// pause waits for about the retry period; the jitter spreads the tries of several nodes.
func (e *Elector) pause(ctx context.Context) {
	wait := e.timing.RetryPeriod/2 + mrand.N(e.timing.RetryPeriod)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
