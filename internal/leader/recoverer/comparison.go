package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
)

// lostPageRows is how many lost jobs are taken in at a time, here and from a peer.
const lostPageRows = 500

// roundBits is how many rounds of comparison a term has numbers for.
const roundBits = 16

// comparison is one round of asking this node's cache and all other controllers.
type comparison struct {
	cfg       *Config
	events    *eventLog
	knowledge *knowledge

	round    uint64 // by which peers tell the rounds of all leaders apart
	since    time.Time
	ticket   uint64 // of the comparison of this node's cache with the records
	ownAfter string // the cache's lost jobs have been taken in up to this one
	ownDone  bool
	peers    map[string]*peerScan
}

// peerScan is how far one controller's knowledge has been taken in.
type peerScan struct {
	after    string // its lost jobs have been taken in up to this one
	inFlight bool
	done     bool
	gone     bool // it has not answered for too long
	retryAt  time.Time
}

// begin begins a new round.
func (c *comparison) begin(now time.Time) {
	c.since = now
	c.round++
	c.cfg.Cache.Readiness.SuspectLossUntil(now.Add(c.cfg.Derived.Workers.CancelDeadline))
	c.ticket = c.cfg.Cache.RequestAudit()
	c.ownAfter, c.ownDone = "", false
	clear(c.peers)
}

// readOwnPage takes in a page of what this node's cache knows beyond the records, once all of
// it has been compared with them.
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

// askPeers goes on asking the other controllers, one page at a time each.
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

// askPage asks a peer for its next page.
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

// peerAnswered takes in a peer's page.
func (c *comparison) peerAnswered(name string, scan *peerScan, page peer.LostJobsResponse, err error, now time.Time) {
	scan.inFlight = false
	if c.peers[name] != scan {
		return // of an earlier round
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

// allPeersHeard tells whether every other controller has told all, or is taken for gone.
func (c *comparison) allPeersHeard() bool {
	for _, name := range c.cfg.Peers.Peers() {
		if scan := c.peers[name]; scan == nil || !scan.done && !scan.gone {
			return false
		}
	}
	return true
}
