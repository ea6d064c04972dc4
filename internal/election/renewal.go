package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// maxRenewalsInFlight is the maximum number of renewals that wait for their responses at a time. It
// is the number of renewals sent while one is valid; with a lower limit, slow responses would leave
// gaps in the validity.
const maxRenewalsInFlight = 5

// requestOutcome is the outcome of a renewal or of a request for peer leases.
type requestOutcome struct {
	sentAt time.Time
	err    error
}

// leaseKeeper extends the validity of one term: by renewals of its lease in the store, and by peer
// leases while the store does not respond. docs/design.md ("Peer leases during an outage") explains
// why this is safe.
//
// It is owned by one goroutine. Each request runs in its own goroutine, which ends with the
// context of run and sends its outcome to a channel with free capacity for it.
type leaseKeeper struct {
	elector *Elector
	term    wonTerm

	renewals         chan requestOutcome
	renewalsInFlight int
	renewedAt        time.Time // send time of the newest renewal that succeeded
	renewalSentAt    time.Time // send time of the last renewal, whatever its outcome

	peerLeases           chan requestOutcome
	requestingPeerLeases bool
	peerLeasesSentAt     time.Time // send time of the last request, whatever its outcome
}

func newLeaseKeeper(elector *Elector, won wonTerm) *leaseKeeper {
	now := time.Now()
	return &leaseKeeper{
		elector: elector, term: won,
		renewals: make(chan requestOutcome, maxRenewalsInFlight), renewedAt: now, renewalSentAt: now,
		peerLeases: make(chan requestOutcome, 1), peerLeasesSentAt: now,
	}
}

// run extends the validity until the term ends, and returns the reason for its end.
func (k *leaseKeeper) run(ctx context.Context, leadReturned, keyLost <-chan struct{}) endReason {
	ticker := time.NewTicker(k.elector.timing.RenewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return shuttingDown
		case <-leadReturned:
			return resigned
		case <-keyLost:
			return holderKeyLost
		case outcome := <-k.renewals:
			if ended := k.handleRenewalOutcome(outcome); ended {
				return leaseNotFound
			}
		case outcome := <-k.peerLeases:
			k.handlePeerLeasesOutcome(outcome)
		case <-ticker.C:
		}
		now := time.Now()
		remaining := k.elector.validity.remaining(k.elector.clockAt(now))
		if remaining <= 0 {
			return validityExpired
		}
		k.renew(ctx, now)
		k.requestPeerLeases(ctx, now, remaining)
	}
}

// isDue reports whether a request may be sent again, one RenewPeriod after the last. Without this
// limit, a request that is refused at once would be repeated at once. The tolerance of 10 % allows
// for ticks that come early.
func (k *leaseKeeper) isDue(now, sentAt time.Time) bool {
	return now.Sub(sentAt) >= k.elector.timing.RenewPeriod*9/10
}

// renew sends a renewal if one is due. On a busy processor, a response may take most of the
// time for which the renewal is valid. The next renewal is therefore sent without waiting for it,
// and a later renewal does not cancel an earlier one.
func (k *leaseKeeper) renew(ctx context.Context, now time.Time) {
	if k.renewalsInFlight >= maxRenewalsInFlight || !k.isDue(now, k.renewalSentAt) {
		return
	}
	k.renewalsInFlight++
	k.renewalSentAt = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, k.elector.timing.ValidFor)
		defer cancel()
		k.renewals <- requestOutcome{now, k.elector.store.RenewLease(ctx, k.term.lease)}
	}()
}

// handleRenewalOutcome handles the outcome of a renewal and reports whether the term has ended
// because the store no longer has the lease.
func (k *leaseKeeper) handleRenewalOutcome(outcome requestOutcome) (ended bool) {
	k.renewalsInFlight--
	elector := k.elector
	switch {
	case outcome.err == nil && outcome.sentAt.After(k.renewedAt):
		k.renewedAt = outcome.sentAt
		elector.validity.extendByRenewal(elector.clockAt(outcome.sentAt), elector.timing.ValidFor)
	case outcome.err == nil: // a renewal that was sent later has already succeeded
	case errors.Is(outcome.err, kvstore.ErrLeaseNotFound):
		if elector.IsLeader() { // a lease that was renewed in time cannot have expired
			elector.ReportLoss(detection.Evidence{Kind: detection.HolderKeyLost, Key: HolderKey, Known: k.term.FencingToken})
		}
		return true
	default:
		slog.Debug("lease renewal failed", "term", k.term.FencingToken, "reason", outcome.err)
	}
	return false
}

// requestPeerLeases requests a lease from every peer if no renewal sent within the last two renew
// periods has succeeded. remaining is how long the leader may still act.
func (k *leaseKeeper) requestPeerLeases(ctx context.Context, now time.Time, remaining time.Duration) {
	elector := k.elector
	storeSilent := now.Sub(k.renewedAt) >= 2*elector.timing.RenewPeriod
	if k.requestingPeerLeases || elector.RequestPeerLeases == nil || !storeSilent || !k.isDue(now, k.peerLeasesSentAt) {
		return
	}
	k.requestingPeerLeases, k.peerLeasesSentAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, min(remaining, 3*elector.timing.RenewPeriod))
		defer cancel()
		outcome := requestOutcome{sentAt: now}
		if !elector.RequestPeerLeases(ctx, elector.ownToken.Load()) {
			outcome.err = errNotGranted
		}
		k.peerLeases <- outcome
	}()
}

// errNotGranted is the outcome of a request that not all peers have granted.
var errNotGranted = errors.New("not all peers granted a lease")

// handlePeerLeasesOutcome handles the outcome of a request for peer leases.
func (k *leaseKeeper) handlePeerLeasesOutcome(outcome requestOutcome) {
	k.requestingPeerLeases = false
	elector := k.elector
	requestedAt := elector.clockAt(outcome.sentAt)
	if outcome.err == nil && elector.validity.extendByGrants(elector.clock(), requestedAt, elector.timing.ValidFor) {
		elector.peerLeasesRequestedAt.Store(int64(requestedAt))
	}
}
