package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
)

// This file finds out, by asking the other controllers, what this node may take for certain:
// that it knows all jobs, and that nobody relies on what its earlier life may have promised.

// confirmAfterStart finds out, after a start, whether this node has begun with all records there
// were: all other controllers are asked how many jobs they know, and a reading of the records
// that begins after their answers must have as many. Where one does not answer, the leader's
// word does, or in the end the time that most outages last.
func (n *Controller) confirmAfterStart(ctx context.Context) {
	for time.Since(n.born) < n.derived.Cancel && !n.cache.Settled() {
		others, err := n.queryPeers(ctx)
		switch {
		case err != nil:
		case others.lossNoticedBy != "":
			n.lossReporter.notice(detection.Loss{Kind: detection.ReportedByPeer, Key: others.lossNoticedBy})
		case n.cache.Listed() && !n.storeRolledBack(ctx, others.newestRevision):
			n.cache.Expect(others.knownJobs, false)
		}
		if !n.sleep(ctx, n.derived.TermRenew/2) {
			return
		}
	}
	n.cache.BeSure()
}

// confirmAfterOutages asks all other controllers after each outage of the state service whether that
// was put back in it: a node that read nothing of what was lost would not notice. Where one
// does not answer, the time that most outages last has to do.
func (n *Controller) confirmAfterOutages(ctx context.Context) {
	var servedSince time.Time // since the last outage; zero if nothing is to be found out
	for n.sleep(ctx, n.derived.TermRenew/2) {
		if n.cache.Confirmed() || n.store.Failing() {
			servedSince = time.Time{}
			continue
		}
		if servedSince.IsZero() {
			servedSince = time.Now()
		}
		if time.Since(servedSince) < n.derived.TermRenew {
			n.cache.CheckWitnesses()
			continue // what the others have compared by then, they have compared after it
		}
		outages := n.store.Outages()
		others, err := n.queryPeers(ctx)
		heard := err == nil && others.allCurrent && others.lossNoticedBy == "" && !n.storeRolledBack(ctx, others.newestRevision)
		if heard || time.Since(servedSince) > n.derived.Cancel {
			n.cache.Confirm(outages)
		}
	}
}

// sleep waits; it returns false if the context has ended.
func (n *Controller) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// peerKnowledge is what all other controllers have said.
type peerKnowledge struct {
	knownJobs      int    // the most jobs that one of them knows
	newestRevision uint64 // the newest revision that one of them has seen
	lossNoticedBy  string // one that has noticed a loss
	allCurrent     bool   // each has found the newest that it knows in the records, just now
	noneRelies     bool   // each, in its present life, relies on no promise
}

// queryPeers asks all other controllers what they know, together. It fails unless all answer.
func (n *Controller) queryPeers(ctx context.Context) (peerKnowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, n.derived.TermRenew)
	defer cancel()
	names := n.peers.Peers()
	pages := make([]peer.LostJobsResponse, len(names))
	asking, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		asking.Go(func() (err error) {
			pages[i], err = n.peers.RequestLostJobs(ctx, name, peer.LostJobsRequest{})
			return err
		})
	}
	if err := asking.Wait(); err != nil {
		return peerKnowledge{}, err
	}
	others := peerKnowledge{allCurrent: true, noneRelies: true}
	for i, page := range pages {
		others.allCurrent = others.allCurrent && page.Compared
		others.noneRelies = others.noneRelies && page.ReliesOnNoPromise
		if page.LossNoticed {
			others.lossNoticedBy = names[i]
		}
		others.knownJobs, others.newestRevision = max(others.knownJobs, page.KnownJobs), max(others.newestRevision, page.NewestRevision)
	}
	return others, nil
}

// noPeerRelies tells whether every other controller has answered this process that it relies
// on no promise.
func (n *Controller) noPeerRelies(ctx context.Context) bool {
	others, err := n.queryPeers(ctx)
	return err == nil && others.noneRelies
}

// storeRolledBack tells whether the state service is at an older revision than another controller
// had seen before, or does not tell.
func (n *Controller) storeRolledBack(ctx context.Context, newest uint64) bool {
	now, err := n.store.Revision(ctx)
	if err == nil && now < newest {
		n.lossReporter.notice(detection.Loss{Kind: detection.RevisionBack, Known: newest, Found: now})
	}
	return err != nil || now < newest
}
