package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
)

// lostPageRows is the number of lost jobs read from the cache or requested from a peer at a time.
const lostPageRows = 500

// roundBits is the number of low bits of a round number that count the rounds of one term.
const roundBits = 16

// comparison is one round of comparing the records with this controller's cache and with all
// other controllers.
type comparison struct {
	cfg       *Config
	events    *eventLog
	knowledge *knowledge

	round    uint64 // unique among the rounds of all leaders
	since    time.Time
	ticket   uint64 // identifies the requested audit of this controller's cache
	ownAfter string // the cache's lost jobs up to this id have been read
	ownDone  bool
	peers    map[string]*peerScan
}

// peerScan tracks the requests for one other controller's lost jobs.
type peerScan struct {
	after    string // its lost jobs up to this id have been received
	inFlight bool
	done     bool
	gone     bool // it did not answer in time and is no longer waited for
	retryAt  time.Time
}

// begin starts a new round.
func (c *comparison) begin(now time.Time) {
	c.since = now
	c.round++
	c.cfg.Cache.Readiness.SuspectLossUntil(now.Add(c.cfg.Derived.Workers.CancelDeadline))
	c.ticket = c.cfg.Cache.RequestAudit()
	c.ownAfter, c.ownDone = "", false
	clear(c.peers)
}

// readOwnPage reads one page of the lost jobs in this controller's cache, once the audit has
// compared the whole cache with the records.
func (c *comparison) readOwnPage() {
	if c.ownDone || !c.cfg.Cache.AuditDone(c.ticket) {
		return
	}
	page, more := c.cfg.Cache.LostPage(c.ownAfter, lostPageRows)
	for _, lost := range page {
		c.ownAfter = lost.ID
		if c.knowledge.needsNoComparison(lost) {
			continue
		}
		c.knowledge.addLeadersView(lost.ID)
		record := decodeRecord(c.cfg.Cache.UnfinishedRecord(lost.ID))
		c.knowledge.addCached(lost.ID, recovery.FromCache(c.cfg.Node), lost.State, lost.Tasks, record)
	}
	c.ownDone = !more
}

// askPeers requests the next page from each other controller, one page at a time per controller.
// A controller that has not answered everything within the cancel deadline is no longer waited for.
func (c *comparison) askPeers(ctx context.Context, now time.Time) {
	for _, name := range c.cfg.Peers.Peers() {
		scan := c.peers[name]
		if scan == nil {
			scan = &peerScan{}
			c.peers[name] = scan
		}
		if scan.inFlight || scan.done || now.Before(scan.retryAt) {
			continue
		}
		if !scan.gone && now.Sub(c.since) > c.cfg.Derived.Workers.CancelDeadline {
			scan.gone = true
			slog.Info("peer does not answer, no longer waited for", "term", c.cfg.token(), "peer", name)
			c.events.add(now, "peer not heard", name)
		}
		if !scan.gone {
			c.askPage(ctx, name, scan)
		}
	}
}

// askPage requests the next page from a peer.
func (c *comparison) askPage(ctx context.Context, name string, scan *peerScan) {
	scan.inFlight = true
	question := peer.LostJobsRequest{ComparisonRound: c.round, AfterID: scan.after}
	go func() {
		try, cancel := context.WithTimeout(ctx, c.cfg.Derived.Election.LeaseDuration)
		defer cancel()
		page, err := c.cfg.Peers.RequestLostJobs(try, name, question)
		c.cfg.Post(ctx, func(now time.Time) { c.peerAnswered(name, scan, page, err, now) })
	}()
}

// peerAnswered applies a page from a peer, or schedules a retry if the request failed or the peer
// has not finished its own comparison.
func (c *comparison) peerAnswered(name string, scan *peerScan, page peer.LostJobsResponse, err error, now time.Time) {
	scan.inFlight = false
	if c.peers[name] != scan {
		return // the answer belongs to an earlier round
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
		scan.after = job.ID
		if c.knowledge.agreesWithCache(job) {
			continue
		}
		c.knowledge.addLeadersView(job.ID)
		c.knowledge.addCached(job.ID, recovery.FromCache(name), job.State, job.Tasks, decodeRecord(job.Record))
	}
	scan.done = !page.More
}

// allPeersHeard reports whether every other controller has sent all its pages or is no longer
// waited for.
func (c *comparison) allPeersHeard() bool {
	for _, name := range c.cfg.Peers.Peers() {
		if scan := c.peers[name]; scan == nil || !scan.done && !scan.gone {
			return false
		}
	}
	return true
}
