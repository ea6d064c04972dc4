package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// maxRenewalsInFlight is how many renewals may wait for their answers at a time: as many as are
// sent while one counts. With fewer, slow answers would leave gaps.
const maxRenewalsInFlight = 5

// requestOutcome is what became of a renewal, or of a request for peer leases.
type requestOutcome struct {
	sentAt time.Time
	err    error
}

// leaseKeeper keeps the lease of one term: by renewals in the store, and by peer leases while
// the store does not answer. docs/design.md ("Peer leases during an outage") has why that is safe.
// One goroutine owns it; each request has a goroutine of its own, which ends with the context of
// run and leaves its outcome in a channel that has room for it.
type leaseKeeper struct {
	elector *Elector
	term    wonTerm

	renewals         chan requestOutcome
	renewalsInFlight int
	renewedAt        time.Time // when the last renewal that succeeded was sent
	renewalSentAt    time.Time // the last one, whatever its outcome

	peerLeases           chan requestOutcome
	requestingPeerLeases bool
	peerLeasesSentAt     time.Time // the last request, whatever its outcome
}

func newLeaseKeeper(elector *Elector, won wonTerm) *leaseKeeper {
	now := time.Now()
	return &leaseKeeper{
		elector: elector, term: won,
		renewals: make(chan requestOutcome, maxRenewalsInFlight), renewedAt: now, renewalSentAt: now,
		peerLeases: make(chan requestOutcome, 1), peerLeasesSentAt: now,
	}
}

// run keeps the lease until the term ends, and tells why it did.
func (k *leaseKeeper) run(ctx context.Context, leadReturned, keyLost <-chan struct{}) endReason {
	tick := time.NewTicker(k.elector.timing.RenewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return shuttingDown
		case <-leadReturned:
			return resigned
		case <-keyLost:
			return holderKeyLost
		case outcome := <-k.renewals:
			if ended := k.renewalAnswered(outcome); ended {
				return leaseEnded
			}
		case outcome := <-k.peerLeases:
			k.peerLeasesAnswered(outcome)
		case <-tick.C:
		}
		now := time.Now()
		remaining := k.elector.validity.remaining(k.elector.clockAt(now))
		if remaining <= 0 {
			return validityEnded
		}
		k.renew(ctx, now)
		k.requestPeerLeases(ctx, now, remaining)
	}
}

// due tells whether a request may be sent again. One that is refused is answered at once, and
// must not be repeated at once. Ticks may come a little early.
func (k *leaseKeeper) due(now, sentAt time.Time) bool {
	return now.Sub(sentAt) >= k.elector.timing.RenewPeriod*9/10
}

// renew sends a renewal if one is due. On a busy processor an answer may take most of the time
// for which it counts: the next renewal does not wait for it, and it is not given up when a later
// one is sent.
func (k *leaseKeeper) renew(ctx context.Context, now time.Time) {
	if k.renewalsInFlight >= maxRenewalsInFlight || !k.due(now, k.renewalSentAt) {
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

// renewalAnswered takes in the outcome of a renewal, and tells whether the lease has ended in
// the store.
func (k *leaseKeeper) renewalAnswered(outcome requestOutcome) (ended bool) {
	k.renewalsInFlight--
	elector := k.elector
	switch {
	case outcome.err == nil && outcome.sentAt.After(k.renewedAt):
		k.renewedAt = outcome.sentAt
		elector.validity.extendByRenewal(elector.clockAt(outcome.sentAt), elector.timing.ValidFor)
	case outcome.err == nil: // one that was sent later has been answered already
	case errors.Is(outcome.err, kvstore.ErrLeaseNotFound):
		if elector.IsLeader() { // renewed in time, the lease cannot have ended by itself
			elector.ReportLoss(detection.Evidence{Kind: detection.HolderLost, Key: HolderKey, Known: k.term.FencingToken})
		}
		return true
	default:
		slog.Debug("renewal failed", "term", k.term.FencingToken, "reason", outcome.err)
	}
	return false
}

// requestPeerLeases asks all peers for a lease if no renewal of the last two periods has
// succeeded. Remaining is how long the leader may still act.
func (k *leaseKeeper) requestPeerLeases(ctx context.Context, now time.Time, remaining time.Duration) {
	elector := k.elector
	storeSilent := now.Sub(k.renewedAt) >= 2*elector.timing.RenewPeriod
	if k.requestingPeerLeases || elector.RequestPeerLeases == nil || !storeSilent || !k.due(now, k.peerLeasesSentAt) {
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

// errNotGranted is that not all peers have granted a lease.
var errNotGranted = errors.New("not all peers have granted a lease")

// peerLeasesAnswered takes in whether all peers have granted a lease.
func (k *leaseKeeper) peerLeasesAnswered(outcome requestOutcome) {
	k.requestingPeerLeases = false
	elector := k.elector
	requestedAt := elector.clockAt(outcome.sentAt)
	if outcome.err == nil && elector.validity.extendByGrants(elector.clock(), requestedAt, elector.timing.ValidFor) {
		elector.peerLeasesRequestedAt.Store(int64(requestedAt))
	}
}
