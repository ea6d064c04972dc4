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

// currencyMonitor proves that this controller's cache of job records is current, by comparing
// with what the other controllers know: a store that was rolled back, or had lost records
// before this process started, shows nothing of it to who reads it anew.
type currencyMonitor struct {
	startedAt time.Time
	derived   settings.Derived
	store     *kvstore.Client
	cache     *jobcache.Cache
	peers     *peer.Hub
	losses    *lossReporter
}

// confirmAfterStart finds out whether this process has started with all records there were.
// All other controllers are asked how many jobs they know; a reading of the records that
// begins after their answers must find as many. Where one does not answer, what the leader
// says will do (Controller.followLeader), or in the end the time that most outages last.
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
// whether it was rolled back in the outage: a controller that has read nothing of what was
// lost would not notice. Where one does not answer, the time that most outages last has to
// do. It runs until the context ends.
func (m *currencyMonitor) confirmAfterOutages(ctx context.Context) {
	var availableSince time.Time // since the last outage; zero if nothing is to be found out
	for sleep(ctx, m.derived.Election.RenewInterval/2) {
		if m.cache.Readiness.ConfirmedByPeers() || m.store.Failing() {
			availableSince = time.Time{}
			continue
		}
		if availableSince.IsZero() {
			availableSince = time.Now()
		}
		if time.Since(availableSince) < m.derived.Election.RenewInterval {
			m.cache.RequestRollbackCheck()
			continue // what the others have compared by then, they have compared after it
		}
		outages := m.store.Outages()
		others, err := m.queryPeers(ctx)
		confirmed := err == nil && others.allCurrent && others.lossNoticedBy == "" && !m.storeRolledBack(ctx, others.newestRevision)
		if confirmed || time.Since(availableSince) > m.derived.Workers.CancelDeadline {
			m.cache.Readiness.ConfirmByPeers(outages)
		}
	}
}

// peerKnowledge joins what all other controllers have said.
type peerKnowledge struct {
	knownJobs      int    // the most jobs that one of them knows
	newestRevision uint64 // the newest revision of the store that one of them has read
	lossNoticedBy  string // the name of one that has noticed a loss; empty if none has
	allCurrent     bool   // each has found the newest changes that it knows in the records, just now
	noneRelies     bool   // each, since its process started, relies on no grant
}

// queryPeers asks all other controllers what they know, in parallel. It fails unless all
// answer.
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

// noPeerRelies tells whether every other controller has answered this process that it relies
// on no grant.
func (m *currencyMonitor) noPeerRelies(ctx context.Context) bool {
	others, err := m.queryPeers(ctx)
	return err == nil && others.noneRelies
}

// storeRolledBack tells whether the store is at an older revision than another controller has
// read, or does not tell its revision.
func (m *currencyMonitor) storeRolledBack(ctx context.Context, newestRevision uint64) bool {
	current, err := m.store.Revision(ctx)
	if err == nil && current < newestRevision {
		m.losses.notice(detection.Evidence{Kind: detection.RevisionBack, Known: newestRevision, Found: current})
	}
	return err != nil || current < newestRevision
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
