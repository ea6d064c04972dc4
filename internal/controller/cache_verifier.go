package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// cacheVerifier verifies against the other controllers that this controller's cache of job
// records is current. The store alone cannot show that: a controller that reads all records for
// the first time cannot tell that the store was rolled back or lost records before.
type cacheVerifier struct {
	startedAt    time.Time
	derived      settings.Derived
	store        *kvstore.Client
	cache        *jobcache.Cache
	peers        *peer.Hub
	lossReporter *lossReporter
}

// verifyAfterStart verifies that this controller started with a complete set of job records. It
// asks all other controllers how many jobs they know; a read of the records that starts after
// their responses must find at least as many. If a controller does not respond, the job count in
// the leader's updates is enough (Controller.applyLeaderUpdate). After the cancel deadline, by
// which most outages have ended, the cache is assumed to be complete.
func (v *cacheVerifier) verifyAfterStart(ctx context.Context) {
	for time.Since(v.startedAt) < v.derived.Workers.CancelDeadline && !v.cache.Readiness.ProvenCurrent() {
		peers, err := v.queryPeers(ctx)
		switch {
		case err != nil:
		case peers.lossNoticedBy != "":
			v.lossReporter.enqueue(detection.Evidence{Kind: detection.ReportedByPeer, Key: peers.lossNoticedBy})
		case v.cache.Readiness.InitialReadDone() && !v.storeRolledBack(ctx, peers.newestRevision):
			v.cache.Readiness.NotePeerJobCount(peers.knownJobs, false)
		}
		if !sleep(ctx, v.derived.Election.RenewInterval/2) {
			return
		}
	}
	v.cache.Readiness.AssumeComplete()
}

// verifyAfterOutages asks all other controllers, after each outage of the key-value store,
// whether the store was rolled back during the outage. A controller that had read none of the
// lost changes would not notice the rollback itself. If a controller does not respond, the cache
// counts as confirmed after the cancel deadline, by which most outages have ended. It returns when
// the context ends.
func (v *cacheVerifier) verifyAfterOutages(ctx context.Context) {
	var availableSince time.Time // when the last outage ended; zero if there is nothing to confirm
	for sleep(ctx, v.derived.Election.RenewInterval/2) {
		if v.cache.Readiness.ConfirmedByPeers() || v.store.Failing() {
			availableSince = time.Time{}
			continue
		}
		if availableSince.IsZero() {
			availableSince = time.Now()
		}
		if time.Since(availableSince) < v.derived.Election.RenewInterval {
			// A peer reports a rollback check of at most one renewal interval ago. After this
			// delay, every check that a peer reports started after the end of the outage.
			v.cache.RequestRollbackCheck()
			continue
		}
		outages := v.store.Outages()
		peers, err := v.queryPeers(ctx)
		confirmed := err == nil && peers.allCurrent && peers.lossNoticedBy == "" && !v.storeRolledBack(ctx, peers.newestRevision)
		if confirmed || time.Since(availableSince) > v.derived.Workers.CancelDeadline {
			v.cache.Readiness.ConfirmByPeers(outages)
		}
	}
}

// peerSummary combines the responses of all other controllers.
type peerSummary struct {
	knownJobs          int    // largest number of jobs that one of them knows
	newestRevision     uint64 // newest revision of the store that one of them has read
	lossNoticedBy      string // name of a controller that noticed a loss; empty if none did
	allCurrent         bool   // each has just verified that the records hold the newest changes that it knows
	noneReliesOnGrants bool   // each relies on no lease grant in its present incarnation
}

// queryPeers asks all other controllers in parallel for a summary of what they know. It returns
// an error unless all of them respond within the renewal interval.
func (v *cacheVerifier) queryPeers(ctx context.Context) (peerSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, v.derived.Election.RenewInterval)
	defer cancel()
	names := v.peers.Peers()
	responses := make([]peer.LostJobsResponse, len(names))
	requests, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		requests.Go(func() (err error) {
			responses[i], err = v.peers.RequestLostJobs(ctx, name, peer.LostJobsRequest{})
			return err
		})
	}
	if err := requests.Wait(); err != nil {
		return peerSummary{}, err
	}
	combined := peerSummary{allCurrent: true, noneReliesOnGrants: true}
	for i, response := range responses {
		combined.allCurrent = combined.allCurrent && response.Compared
		combined.noneReliesOnGrants = combined.noneReliesOnGrants && response.ReliesOnNoGrant
		if response.LossNoticed {
			combined.lossNoticedBy = names[i]
		}
		combined.knownJobs = max(combined.knownJobs, response.KnownJobs)
		combined.newestRevision = max(combined.newestRevision, response.NewestRevision)
	}
	return combined, nil
}

// noPeerReliesOnGrants reports whether every other controller responded to this incarnation that
// it relies on no lease grant.
func (v *cacheVerifier) noPeerReliesOnGrants(ctx context.Context) bool {
	peers, err := v.queryPeers(ctx)
	return err == nil && peers.noneReliesOnGrants
}

// storeRolledBack reports whether the store is at an older revision than another controller has
// read, and reports that as a loss. It also returns true if the revision cannot be read.
func (v *cacheVerifier) storeRolledBack(ctx context.Context, newestRevision uint64) bool {
	current, err := v.store.Revision(ctx)
	if err == nil && current < newestRevision {
		v.lossReporter.enqueue(detection.Evidence{Kind: detection.RevisionRolledBack, Known: newestRevision, Found: current})
	}
	return err != nil || current < newestRevision
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
