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

// Run campaigns until the context ends. For each term that this controller wins, Run calls lead
// with a context that ends with the term, and waits until lead returns.
func (e *Elector) Run(ctx context.Context, lead LeadFunc) {
	var standDownUntil time.Time // this controller does not campaign before this time
	for ctx.Err() == nil {
		stored, err := e.observeElection(ctx)
		if err != nil {
			slog.Debug("cannot read the election keys", "reason", err)
			e.waitBeforeRetry(ctx)
			continue
		}
		// A key under this controller's name belongs to an earlier incarnation, which has ended,
		// so it can be taken at once.
		ownKey := stored.heldBy(e.controller)
		if stored.holder != nil && !ownKey {
			e.awaitChange(ctx, stored.revision, e.timing.WatchTimeout)
			continue
		}
		if stored.holder == nil {
			wasAlive, err := e.revokeLastLease(ctx)
			if err != nil {
				slog.Debug("cannot revoke the lease of the last leader", "reason", err)
				e.waitBeforeRetry(ctx)
				continue
			}
			if wasAlive {
				standDownUntil = time.Now().Add(e.timing.LeaseDuration)
			}
		}
		ignoreEarlierGrants := ownKey || stored.tokenRevision == 0 && e.grantor.highestToken() == 0
		if e.delayCampaign(ctx, &stored, ignoreEarlierGrants, standDownUntil) {
			continue
		}
		won, err := e.campaign(ctx, &stored, ignoreEarlierGrants)
		if err != nil {
			slog.Debug("campaign failed", "reason", err)
			e.waitBeforeRetry(ctx)
			continue
		}
		if e.serveTerm(ctx, won, lead) == resigned {
			standDownUntil = time.Now().Add(2 * e.timing.LeaseDuration)
		}
	}
}

// observeElection reads the election keys, corrects them by what this controller knows of lost
// keys, and records the holder.
func (e *Elector) observeElection(ctx context.Context) (storedElection, error) {
	requestedAt := time.Now()
	stored, err := e.readElection(ctx)
	if err != nil {
		return storedElection{}, err
	}
	stored.highestToken = e.highestIssuedToken(stored.highestToken)
	e.dropSucceededHolder(&stored)
	e.observedHolder.Store(stored.holder)
	e.setHolderObservedAt(requestedAt)
	return stored, nil
}

// highestIssuedToken returns the highest fencing token known to have been issued: the stored token
// or the one that this controller knows. The known token is higher if the store has lost the
// token's key or was rolled back. Campaigns must start from the higher one, because no token may
// be issued twice.
func (e *Elector) highestIssuedToken(stored uint64) uint64 {
	if known := e.grantor.highestToken(); stored < known {
		e.ReportLoss(detection.Evidence{Kind: detection.TokenRolledBack, Key: TokenKey, Known: known, Found: stored})
		return known
	}
	e.grantor.observeToken(stored)
	return stored
}

// dropSucceededHolder clears a holder that has been succeeded. Its key exists only because the
// store was rolled back. The lease that the key was tied to no longer exists, so nothing else would
// ever remove the key.
func (e *Elector) dropSucceededHolder(stored *storedElection) {
	switch {
	case stored.holder == nil:
	case stored.holder.FencingToken < e.lastHolder.FencingToken:
		stored.holder = nil
	default:
		e.lastHolder = *stored.holder
	}
}

// revokeLastLease revokes the lease of the last observed holder when no controller holds the key,
// and reports whether the lease was still alive. Usually the lease has expired and the key was
// removed with it. If the lease is alive, the key was lost and the holder is still renewing the
// lease; the revocation makes the next renewal fail, which ends the holder's term.
func (e *Elector) revokeLastLease(ctx context.Context) (wasAlive bool, err error) {
	if e.lastHolder.Lease == 0 || e.lastHolder.Incarnation == e.incarnation {
		return false, nil
	}
	wasAlive, err = e.store.RevokeLeaseIfAlive(ctx, e.lastHolder.Lease)
	if err != nil {
		return false, err
	}
	if wasAlive {
		e.ReportLoss(detection.Evidence{Kind: detection.HolderKeyLost, Key: HolderKey, Known: e.lastHolder.FencingToken})
	}
	e.lastHolder.Lease = 0
	return wasAlive, nil
}

// delayCampaign waits for part of the time in which this controller must not campaign. It returns
// false at once if there is no such time left. After a wait, the caller must observe the election
// keys again.
func (e *Elector) delayCampaign(ctx context.Context, stored *storedElection, ignoreEarlierGrants bool, standDownUntil time.Time) (delayed bool) {
	wait := max(time.Until(standDownUntil), e.grantor.campaignDelay(e.clock(), ignoreEarlierGrants))
	if wait <= 0 {
		return false
	}
	if e.voidEarlierGrants(ctx) {
		return true
	}
	if e.grantor.boundByEarlierIncarnation(e.clock()) {
		wait = min(wait, e.timing.RetryPeriod/2) // ask the remaining peers again soon
	}
	e.awaitChange(ctx, stored.revision, min(wait, e.timing.WatchTimeout))
	return true
}

// wonTerm is a term that this controller has just won.
type wonTerm struct {
	Term
	lease       uint64
	requestedAt time.Time // request time of the lease, from which its validity counts
}

// campaign tries to win the next term. Its transaction takes the holder key and increments the
// fencing token, guarded by the revisions at which both were read. rules.Grantor.CampaignDelay
// explains ignoreEarlierGrants.
func (e *Elector) campaign(ctx context.Context, stored *storedElection, ignoreEarlierGrants bool) (wonTerm, error) {
	requestedAt := time.Now()
	lease, err := e.store.GrantLease(ctx, e.timing.LeaseDuration)
	if err != nil {
		return wonTerm{}, err
	}
	token := stored.highestToken + 1
	holder, _ := json.Marshal(holderRecord{Controller: e.controller, Incarnation: e.incarnation, FencingToken: token, Lease: lease})
	nextToken, _ := json.Marshal(token)
	if !e.grantor.startCampaign(e.clock(), ignoreEarlierGrants, stored.highestToken) {
		_ = e.store.RevokeLease(ctx, lease)
		return wonTerm{}, errBoundByGrant
	}
	revision, failed, err := e.store.Commit(ctx,
		[]kvstore.Guard{{Key: HolderKey, Revision: stored.holderRevision}, {Key: TokenKey, Revision: stored.tokenRevision}},
		[]kvstore.Write{{Set: HolderKey, Value: holder, Lease: lease}, {Set: TokenKey, Value: nextToken}})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		e.grantor.endCampaign()
	}
	if err == nil && len(failed) == 0 {
		e.grantor.observeToken(token)
		term := Term{FencingToken: token, HolderRevision: revision, TokenRevision: revision, Since: time.Now()}
		return wonTerm{Term: term, lease: lease, requestedAt: requestedAt}, nil
	}
	// A transaction with an unknown outcome is not followed up. If it is executed late, its lease
	// is not renewed, so the key is released when the lease expires. Revoking the lease now saves
	// waiting a whole lease duration in that case.
	e.tryRevokeLease(ctx, lease)
	return wonTerm{}, errors.Join(err, fmt.Errorf("transaction guards failed: %v", failed))
}

// errBoundByGrant is returned when this controller has granted a peer lease after it decided to
// campaign.
var errBoundByGrant = errors.New("bound by a peer lease")

// tryRevokeLease revokes a lease that is no longer renewed, so that others need not wait until it
// expires. Errors are ignored, because the lease expires in any case.
func (e *Elector) tryRevokeLease(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, e.timing.RetryPeriod)
	defer cancel()
	_ = e.store.RevokeLease(ctx, lease)
}

// awaitChange waits until a key of the election changes after the given revision, or until the
// wait has passed.
func (e *Elector) awaitChange(ctx context.Context, after uint64, wait time.Duration) {
	_, changes, err := e.store.Watch(ctx, keyPrefix, after, wait)
	if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
		e.waitBeforeRetry(ctx)
		return
	}
	e.setHolderObservedAt(time.Now())
	for _, change := range changes {
		if change.Remove == HolderKey {
			e.observedHolder.Store(nil)
		}
	}
}

// waitBeforeRetry waits for RetryPeriod on average. The jitter keeps controllers from retrying at
// the same time.
func (e *Elector) waitBeforeRetry(ctx context.Context) {
	wait := e.timing.RetryPeriod/2 + mrand.N(e.timing.RetryPeriod)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
