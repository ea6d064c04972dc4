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

// currencyMonitor verifies against the other controllers that this controller's cache of job
// records is current. The store alone cannot show that: a controller that reads all records for
// the first time cannot tell that the store was rolled back or lost records before.
type currencyMonitor struct {
	startedAt time.Time
	derived   settings.Derived
	store     *kvstore.Client
	cache     *jobcache.Cache
	peers     *peer.Hub
	losses    *lossReporter
}

// confirmAfterStart verifies that this controller started with a complete set of job records. It
// asks all other controllers how many jobs they know; a read of the records that starts after
// their responses must find at least as many. If a controller does not respond, the job count in
// the leader's updates is enough (Controller.followLeader). After the cancel deadline, by which
// most outages are over, the cache is assumed to be complete.
func (m *currencyMonitor) confirmAfterStart(ctx context.Context) {
	for time.Since(m.startedAt) < m.derived.Workers.CancelDeadline && !m.cache.Readiness.ProvenCurrent() {
		others, err := m.queryPeers(ctx)
		switch {
		case err != nil:
		case others.lossNoticedBy != "":
			m.losses.notice(detection.Evidence{Kind: detection.ReportedByPeer, Key: others.lossNoticedBy})
		case m.cache.Readiness.InitialReadDone() && !m.storeRolledBack(ctx, others.newestRevision):
			m.cache.Readiness.NotePeerCount(others.knownJobs, false)
		}
		if !sleep(ctx, m.derived.Election.RenewInterval/2) {
			return
		}
	}
	m.cache.Readiness.AssumeComplete()
}

// confirmAfterOutages asks all other controllers, after each outage of the key-value store,
// whether the store was rolled back during the outage. A controller that had read none of the
// lost changes would not notice the rollback itself. If a controller does not respond, the cache
// counts as confirmed after the cancel deadline, by which most outages are over. It returns when
// the context ends.
func (m *currencyMonitor) confirmAfterOutages(ctx context.Context) {
	var availableSince time.Time // when the last outage ended; zero if there is nothing to confirm
	for sleep(ctx, m.derived.Election.RenewInterval/2) {
		if m.cache.Readiness.ConfirmedByPeers() || m.store.Failing() {
			availableSince = time.Time{}
			continue
		}
		if availableSince.IsZero() {
			availableSince = time.Now()
		}
		if time.Since(availableSince) < m.derived.Election.RenewInterval {
			// A peer reports a rollback check of at most one renewal interval ago. After this
			// delay, every check that a peer reports started after the end of the outage.
			m.cache.RequestRollbackCheck()
			continue
		}
		outages := m.store.Outages()
		others, err := m.queryPeers(ctx)
		confirmed := err == nil && others.allCurrent && others.lossNoticedBy == "" && !m.storeRolledBack(ctx, others.newestRevision)
		if confirmed || time.Since(availableSince) > m.derived.Workers.CancelDeadline {
			m.cache.Readiness.ConfirmByPeers(outages)
		}
	}
}

// peerKnowledge combines the responses of all other controllers.
type peerKnowledge struct {
	knownJobs      int    // largest number of jobs that one of them knows
	newestRevision uint64 // newest revision of the store that one of them has read
	lossNoticedBy  string // name of a controller that noticed a loss; empty if none did
	allCurrent     bool   // each has just found the newest changes that it knows in the records
	noneRelies     bool   // each relies on no lease grant in its present incarnation
}

// queryPeers asks all other controllers in parallel for a summary of what they know. It returns
// an error unless all of them respond within the renewal interval.
func (m *currencyMonitor) queryPeers(ctx context.Context) (peerKnowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, m.derived.Election.RenewInterval)
	defer cancel()
	names := m.peers.Peers()
	summaries := make([]peer.LostJobsResponse, len(names))
	requests, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		requests.Go(func() (err error) {
			summaries[i], err = m.peers.RequestLostJobs(ctx, name, peer.LostJobsRequest{})
			return err
		})
	}
	if err := requests.Wait(); err != nil {
		return peerKnowledge{}, err
	}
	others := peerKnowledge{allCurrent: true, noneRelies: true}
	for i, summary := range summaries {
		others.allCurrent = others.allCurrent && summary.Compared
		others.noneRelies = others.noneRelies && summary.ReliesOnNoGrant
		if summary.LossNoticed {
			others.lossNoticedBy = names[i]
		}
		others.knownJobs = max(others.knownJobs, summary.KnownJobs)
		others.newestRevision = max(others.newestRevision, summary.NewestRevision)
	}
	return others, nil
}

// noPeerRelies reports whether every other controller responded to this incarnation that it
// relies on no lease grant.
func (m *currencyMonitor) noPeerRelies(ctx context.Context) bool {
	others, err := m.queryPeers(ctx)
	return err == nil && others.noneRelies
}

// storeRolledBack reports whether the store is at an older revision than another controller has
// read, and reports that as a loss. It also returns true if the revision cannot be read.
func (m *currencyMonitor) storeRolledBack(ctx context.Context, newestRevision uint64) bool {
	current, err := m.store.Revision(ctx)
	if err == nil && current < newestRevision {
		m.losses.notice(detection.Evidence{Kind: detection.RevisionBack, Known: newestRevision, Found: current})
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
