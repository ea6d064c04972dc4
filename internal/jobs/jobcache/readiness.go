package jobcache

import (
	"sync"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// Readiness reports which conclusions this controller may draw from its cache:
//
//   - Loss suspected: there is evidence that records are lost. An unknown job may have been
//     accepted. Polls for a known job are still served from the cache.
//   - Complete: an unknown job was never accepted. After a start, the cache becomes complete when
//     a read finds at least as many jobs as the other controllers, or the leader, reported before
//     the read started. The store may have been rolled back in an outage, so after each outage all
//     other controllers are asked again (ConfirmByPeers).
//   - Proven current: in addition, no user was told that a job is finished whose record says it
//     is unfinished. This does not hold while records lost before this controller started are being
//     compared, nor after a rollback of the store.
//
// All methods may be called by several goroutines concurrently. The cache's mutex guards the
// fields.
type Readiness struct {
	mu          *sync.RWMutex // the cache's mutex
	outages     func() uint64 // returns the number of outages of the store so far
	requestRead func()        // requests a read of the cache

	initialReadDone   bool      // all records have been read since this controller started
	startedInRecovery bool      // records were being compared at the start; the lost ones were never seen
	suspectUntil      time.Time // until then, records may be missing
	rolledBack        bool      // records may be behind what users were told
	peers             peerJobCount
	reportedPeerJobs  int    // the value of peers.jobs when missing jobs were last reported
	complete          bool   // set by a read with as many jobs as peers know, or by AssumeComplete
	confirmedOutages  uint64 // number of outages that ConfirmByPeers or MarkCompared has covered
}

// peerJobCount is the number of jobs that other controllers know.
type peerJobCount struct {
	jobs    int  // maximum over all reports
	certain bool // the last report came from a controller that was certain of its count
}

// ReadAllBeforeLoss reports whether this controller read all records before every loss that it
// knows of. If so, a job that it does not know was not accepted before the loss.
func (r *Readiness) ReadAllBeforeLoss() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.initialReadDone && !r.startedInRecovery
}

// InitialReadDone reports whether this controller has read all records since it started.
func (r *Readiness) InitialReadDone() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.initialReadDone
}

func (r *Readiness) setInitialReadDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialReadDone = true
}

func (r *Readiness) setStartedInRecovery(started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedInRecovery = started
}

// SuspectLossUntil records that records may be missing until the given time, so an unknown job
// may have been accepted. It never shortens an earlier suspicion.
func (r *Readiness) SuspectLossUntil(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.suspectUntil) {
		r.suspectUntil = until
	}
}

// LossSuspected reports whether records may be missing.
func (r *Readiness) LossSuspected() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lossSuspectedLocked()
}

func (r *Readiness) lossSuspectedLocked() bool {
	return r.startedInRecovery || time.Now().Before(r.suspectUntil)
}

// MarkCompared records that the knowledge of all controllers has been compared with the records.
// A job that no controller knows was never accepted.
func (r *Readiness) MarkCompared() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspectUntil = time.Time{}
	r.startedInRecovery = false
	r.confirmedOutages = r.outages()
}

// ConfirmByPeers records that, after the given number of outages, no other controller knew a
// newer revision than the store's.
func (r *Readiness) ConfirmByPeers(outages uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedOutages = max(r.confirmedOutages, outages)
}

// ConfirmedByPeers reports whether ConfirmByPeers covers the last outage.
func (r *Readiness) ConfirmedByPeers() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.confirmedByPeersLocked()
}

func (r *Readiness) confirmedByPeersLocked() bool { return r.confirmedOutages == r.outages() }

// unknownMeansNeverAccepted reports whether a job that this controller does not know was never
// accepted. That is not certain for a controller that has just started, since a loss before its
// start is not visible to it.
func (r *Readiness) unknownMeansNeverAccepted() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete && r.confirmedByPeersLocked() && !r.lossSuspectedLocked()
}

// ProvenCurrent reports whether the cache is proven to contain all records that there were when
// this controller started. Otherwise the record of an unknown job may have been lost, and a job
// that is unfinished by its record may be finished.
func (r *Readiness) ProvenCurrent() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete && !r.startedInRecovery && !r.rolledBack
}

// SetRolledBack sets whether records may be behind what users were told, as reported by the
// leader.
func (r *Readiness) SetRolledBack(rolledBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rolledBack = rolledBack
}

// AssumeComplete marks the cache as complete without a job count from another controller.
func (r *Readiness) AssumeComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// NotePeerJobCount records the number of jobs that another controller knows. The next read of all
// changes must find at least as many. If uncertain is set, the other controller is comparing
// records, and its count does not make the cache complete.
func (r *Readiness) NotePeerJobCount(jobs int, uncertain bool) {
	r.mu.Lock()
	r.peers = peerJobCount{jobs: max(r.peers.jobs, jobs), certain: !uncertain}
	complete := r.complete
	r.mu.Unlock()
	if !complete {
		r.requestRead()
	}
}

// peerJobCount returns what other controllers have reported so far.
func (r *Readiness) peerJobCount() peerJobCount {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peers
}

// compareJobCountLocked compares the number of known jobs with the count that peers had reported
// before the read started. The cache becomes complete with the first read that finds at least as
// many. It reports whether jobs are missing, unless it has reported that for the same count before.
func (r *Readiness) compareJobCountLocked(known int, peers peerJobCount) (missing bool) {
	missing = known < peers.jobs && peers.jobs > r.reportedPeerJobs
	if missing {
		r.reportedPeerJobs = peers.jobs
	}
	r.complete = r.complete || peers.certain && known >= peers.jobs
	return missing
}

// completenessPending reports whether the next read may make the cache complete.
func (r *Readiness) completenessPending() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peers.certain && !r.complete
}

// compareJobCount compares the number of known jobs with the count that peers had reported
// before the read started, and reports a loss if jobs are missing.
func (c *Cache) compareJobCount(peers peerJobCount) {
	c.mu.Lock()
	known := c.entries.size()
	missing := c.Readiness.compareJobCountLocked(known, peers)
	c.mu.Unlock()
	if missing {
		c.reportLoss(detection.Evidence{Kind: detection.RecordMissing, Known: uint64(peers.jobs), Found: uint64(known)})
	}
}
