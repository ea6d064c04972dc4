package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// keepLease keeps the lease. While the state service does not answer, promises of
// all other nodes take its place: see docs/design.md for why that is safe.
func (k *Elector) keepLease(ctx context.Context, lease, token uint64, done, lost <-chan struct{}) (reason string) {
	tick := time.NewTicker(k.timing.RenewPeriod)
	defer tick.Stop()
	type outcome struct {
		sent time.Time
		err  error
	}
	renewals, promises := make(chan outcome, maxRenewalsInFlight), make(chan outcome, 1)
	renewing, asking := 0, false
	good := time.Now()
	tried, asked := good, good // a refusal comes at once, and must not be asked for again at once
	for {
		select {
		case <-ctx.Done():
			return "shutting down"
		case <-done:
			return resigned
		case <-lost:
			return holderKeyLost
		case o := <-renewals:
			renewing--
			switch {
			case o.err == nil && o.sent.After(good):
				good = o.sent
				k.validity.extendByRenewal(o.sent.Sub(k.clockStart), k.timing.ValidFor)
			case o.err == nil: // one that was sent later has been answered already
			case errors.Is(o.err, kvstore.ErrLeaseNotFound):
				if k.IsLeader() { // renewed in time, it cannot end by itself
					k.ReportLoss(detection.Loss{Kind: detection.HolderLost, Key: HolderKey, Known: token})
				}
				return "lease ended"
			default:
				slog.Debug("renewal failed", "term", token, "reason", o.err)
			}
		case o := <-promises:
			asking = false
			if o.err == nil && k.validity.extendByGrants(k.now(), o.sent.Sub(k.clockStart), k.timing.ValidFor) {
				k.peerLeasesRequestedAt.Store(int64(o.sent.Sub(k.clockStart)))
			}
		case <-tick.C:
		}
		now := time.Now()
		left := k.validity.remaining(now.Sub(k.clockStart))
		if left <= 0 {
			return "neither renewed nor promised"
		}
		// On a busy processor an answer may take most of the time for which it counts: the
		// next try does not wait for it, and it is not given up with those before.
		if renewing < maxRenewalsInFlight && now.Sub(tried) >= k.timing.RenewPeriod*9/10 {
			renewing++
			tried = now
			go func() {
				try, cancel := context.WithTimeout(ctx, k.timing.ValidFor)
				defer cancel()
				renewals <- outcome{now, k.store.RenewLease(try, lease)}
			}()
		}
		if !asking && k.RequestPeerLeases != nil && now.Sub(good) >= 2*k.timing.RenewPeriod && now.Sub(asked) >= k.timing.RenewPeriod*9/10 {
			asking, asked = true, now
			go func() {
				try, cancel := context.WithTimeout(ctx, min(left, 3*k.timing.RenewPeriod))
				defer cancel()
				o := outcome{sent: now}
				if !k.RequestPeerLeases(try, k.ownToken.Load()) {
					o.err = errors.New("not promised")
				}
				promises <- o
			}()
		}
	}
}
