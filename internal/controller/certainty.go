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

// becomeSure finds out, after a start, whether this node has begun with all records there
// were: all other controllers are asked how many jobs they know, and a reading of the records
// that begins after their answers must have as many. Where one does not answer, the leader's
// word does, or in the end the time that most outages last.
func (n *Controller) becomeSure(ctx context.Context) {
	for time.Since(n.born) < n.d.Cancel && !n.cache.Settled() {
		others, err := n.askOthers(ctx)
		switch {
		case err != nil:
		case others.noticed != "":
			n.losses.notice(detection.Loss{Kind: detection.ReportedByPeer, Key: others.noticed})
		case n.cache.Listed() && !n.wasPutBack(ctx, others.newest):
			n.cache.Expect(others.known, false)
		}
		if !n.sleep(ctx, n.d.TermRenew/2) {
			return
		}
	}
	n.cache.BeSure()
}

// staySure asks all other controllers after each outage of the state service whether that
// was put back in it: a node that read nothing of what was lost would not notice. Where one
// does not answer, the time that most outages last has to do.
func (n *Controller) staySure(ctx context.Context) {
	var servedSince time.Time // since the last outage; zero if nothing is to be found out
	for n.sleep(ctx, n.d.TermRenew/2) {
		if n.cache.Confirmed() || n.store.Failing() {
			servedSince = time.Time{}
			continue
		}
		if servedSince.IsZero() {
			servedSince = time.Now()
		}
		if time.Since(servedSince) < n.d.TermRenew {
			n.cache.CheckWitnesses()
			continue // what the others have compared by then, they have compared after it
		}
		outages := n.store.Outages()
		others, err := n.askOthers(ctx)
		heard := err == nil && others.ready && others.noticed == "" && !n.wasPutBack(ctx, others.newest)
		if heard || time.Since(servedSince) > n.d.Cancel {
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

// othersKnow is what all other controllers have said.
type othersKnow struct {
	known   int    // the most jobs that one of them knows
	newest  uint64 // the newest revision that one of them has seen
	noticed string // one that has noticed a loss
	ready   bool   // each has found the newest that it knows in the records, just now
	idle    bool   // each, in its present life, relies on no promise
}

// askOthers asks all other controllers what they know, together. It fails unless all answer.
func (n *Controller) askOthers(ctx context.Context) (othersKnow, error) {
	ctx, cancel := context.WithTimeout(ctx, n.d.TermRenew)
	defer cancel()
	names := n.hub.Peers()
	pages := make([]peer.LostJobsResponse, len(names))
	asking, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		asking.Go(func() (err error) {
			pages[i], err = n.hub.RequestLostJobs(ctx, name, peer.LostJobsRequest{})
			return err
		})
	}
	if err := asking.Wait(); err != nil {
		return othersKnow{}, err
	}
	others := othersKnow{ready: true, idle: true}
	for i, page := range pages {
		others.ready = others.ready && page.Compared
		others.idle = others.idle && page.ReliesOnNoPromise
		if page.LossNoticed {
			others.noticed = names[i]
		}
		others.known, others.newest = max(others.known, page.KnownJobs), max(others.newest, page.NewestRevision)
	}
	return others, nil
}

// nobodyRelies tells whether every other controller has answered this process that it relies
// on no promise.
func (n *Controller) nobodyRelies(ctx context.Context) bool {
	others, err := n.askOthers(ctx)
	return err == nil && others.idle
}

// wasPutBack tells whether the state service is at an older revision than another controller
// had seen before, or does not tell.
func (n *Controller) wasPutBack(ctx context.Context, newest uint64) bool {
	now, err := n.store.Revision(ctx)
	if err == nil && now < newest {
		n.losses.notice(detection.Loss{Kind: detection.RevisionBack, Known: newest, Found: now})
	}
	return err != nil || now < newest
}
