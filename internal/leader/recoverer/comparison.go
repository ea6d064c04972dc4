package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
)

// lostPageSize is the number of lost jobs read from the cache or requested from a peer at a time.
const lostPageSize = 500

// roundBits is the number of low bits of a round number that count the rounds of one term.
const roundBits = 16

// comparison is one round of comparing the records with this controller's cache and with all
// other controllers.
type comparison struct {
	cfg       *Config
	events    *eventLog
	knowledge *knowledge

	round       uint64 // unique among the rounds of all leaders
	startedAt   time.Time
	auditTicket uint64 // identifies the requested audit of this controller's cache
	cacheCursor string // the cache's lost jobs up to this id have been read
	cacheDone   bool
	peers       map[string]*peerScan
}

// peerScan tracks the requests for one other controller's lost jobs.
type peerScan struct {
	cursor   string // its lost jobs up to this id have been received
	inFlight bool
	done     bool
	timedOut bool // it did not respond in time and is no longer waited for
	retryAt  time.Time
}

// startRound starts a new round.
func (c *comparison) startRound(now time.Time) {
	c.startedAt = now
	c.round++
	c.cfg.Cache.Readiness.SuspectLossUntil(now.Add(c.cfg.Derived.Workers.CancelDeadline))
	c.auditTicket = c.cfg.Cache.RequestAudit()
	c.cacheCursor, c.cacheDone = "", false
	clear(c.peers)
}

// readCachePage reads one page of the lost jobs in this controller's cache, once the audit has
// compared the whole cache with the records.
func (c *comparison) readCachePage() {
	if c.cacheDone || !c.cfg.Cache.AuditDone(c.auditTicket) {
		return
	}
	page, more := c.cfg.Cache.LostPage(c.cacheCursor, lostPageSize)
	for _, lost := range page {
		c.cacheCursor = lost.ID
		if c.knowledge.needsNoComparison(lost) {
			continue
		}
		c.knowledge.addLeaderState(lost.ID)
		record := decodeRecord(c.cfg.Cache.UnfinishedRecord(lost.ID))
		c.knowledge.addCached(lost.ID, recovery.FromCache(c.cfg.ControllerName), lost.State, lost.Tasks, record)
	}
	c.cacheDone = !more
}

// queryPeers requests the next page from each other controller, one page at a time per controller.
// A controller that has not sent all its pages within the cancel deadline is no longer waited for.
func (c *comparison) queryPeers(ctx context.Context, now time.Time) {
	for _, name := range c.cfg.Peers.Peers() {
		scan := c.peers[name]
		if scan == nil {
			scan = &peerScan{}
			c.peers[name] = scan
		}
		if scan.inFlight || scan.done || now.Before(scan.retryAt) {
			continue
		}
		if !scan.timedOut && now.Sub(c.startedAt) > c.cfg.Derived.Workers.CancelDeadline {
			scan.timedOut = true
			slog.Info("peer does not answer, no longer waited for", "term", c.cfg.token(), "peer", name)
			c.events.add(now, "peer not heard", name)
		}
		if !scan.timedOut {
			c.requestPage(ctx, name, scan)
		}
	}
}

// requestPage requests the next page from a peer.
func (c *comparison) requestPage(ctx context.Context, name string, scan *peerScan) {
	scan.inFlight = true
	request := peer.LostJobsRequest{ComparisonRound: c.round, AfterID: scan.cursor}
	go func() {
		requestCtx, cancel := context.WithTimeout(ctx, c.cfg.Derived.Election.LeaseDuration)
		defer cancel()
		page, err := c.cfg.Peers.RequestLostJobs(requestCtx, name, request)
		c.cfg.Post(ctx, func(now time.Time) { c.handlePeerPage(name, scan, page, err, now) })
	}()
}

// handlePeerPage applies a page from a peer, or schedules a retry if the request failed or the peer
// has not finished its own comparison.
func (c *comparison) handlePeerPage(name string, scan *peerScan, page peer.LostJobsResponse, err error, now time.Time) {
	scan.inFlight = false
	if c.peers[name] != scan {
		return // the response belongs to an earlier round
	}
	if err != nil || !page.Compared {
		scan.retryAt = now.Add(c.cfg.Derived.Leader.ControlInterval / 2)
		return
	}
	for _, job := range page.Jobs {
		if !jobs.ValidID(job.ID) {
			slog.Error("peer names an invalid job id", "peer", name, "job", job.ID)
			continue
		}
		scan.cursor = job.ID
		if c.knowledge.agreesWithCache(job) {
			continue
		}
		c.knowledge.addLeaderState(job.ID)
		c.knowledge.addCached(job.ID, recovery.FromCache(name), job.State, job.Tasks, decodeRecord(job.Record))
	}
	scan.done = !page.More
}

// allPeersDone reports whether every other controller has sent all its pages or is no longer
// waited for.
func (c *comparison) allPeersDone() bool {
	for _, name := range c.cfg.Peers.Peers() {
		if scan := c.peers[name]; scan == nil || !scan.done && !scan.timedOut {
			return false
		}
	}
	return true
}
