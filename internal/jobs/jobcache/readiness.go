package jobcache

import (
	"sync"
	"time"

	"ospreyslip/internal/recovery/detection"
)

// Readiness tells what this controller may conclude from its cache:
//
//   - Loss suspected: something shows that records are lost. What is not known may have been
//     accepted; what is known is answered.
//   - Complete: what is not known was never accepted. A controller that has just begun has a
//     complete cache when a read, begun after all others (or the leader) told how many jobs they
//     know, has as many. After an outage of the key-value store, in which that may have been
//     rolled back, all others are asked once more (ConfirmByPeers).
//   - Proven current: moreover, of what is unfinished by its record, no user was told that it is
//     finished. That is not so while records are compared that were lost before this controller
//     began, nor after the store was rolled back.
//
// All methods may be called by any goroutine. The fields are guarded by the cache's mutex.
type Readiness struct {
	mu          *sync.RWMutex // the cache's
	outages     func() uint64 // how many outages of the store there were
	requestRead func()        // has the cache read soon

	initialReadDone   bool      // all records have been read since this process began
	begunInRecovery   bool      // this process began while records were compared: it saw none of what was lost
	suspectUntil      time.Time // records may be missing until then
	rolledBack        bool      // records may say less than users were told
	peers             peerCount
	reportedPeerCount int    // of peers, when jobs were last found missing by it
	complete          bool   // since peers told, all was read: what is not known was never accepted
	confirmedOutages  uint64 // outages of the store after which all peers were asked
}

// peerCount is how many jobs other controllers know.
type peerCount struct {
	jobs int  // the most that one of them knew
	told bool // one of them has told, and it knew what it has to
}

// ReadAllBeforeLoss tells whether this controller has read all records, and did so before any
// loss that it knows of: then a job that it does not know was not accepted before.
func (r *Readiness) ReadAllBeforeLoss() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.initialReadDone && !r.begunInRecovery
}

// InitialReadDone tells whether this controller has read all records since it began.
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

func (r *Readiness) setBegunInRecovery(begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begunInRecovery = begun
}

// SuspectLossUntil notes that records may be missing, until a moment: what is not known may have
// been accepted.
func (r *Readiness) SuspectLossUntil(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.suspectUntil) {
		r.suspectUntil = until
	}
}

// LossSuspected tells whether records may be missing.
func (r *Readiness) LossSuspected() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lossSuspectedLocked()
}

func (r *Readiness) lossSuspectedLocked() bool {
	return r.begunInRecovery || time.Now().Before(r.suspectUntil)
}

// MarkCompared notes that the knowledge of all controllers has been compared with the records:
// what nobody knows was never accepted.
func (r *Readiness) MarkCompared() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspectUntil = time.Time{}
	r.begunInRecovery = false
	r.confirmedOutages = r.outages()
}

// ConfirmByPeers notes that, after a number of outages, no other controller knew of a newer
// revision than the key-value store.
func (r *Readiness) ConfirmByPeers(outages uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedOutages = max(r.confirmedOutages, outages)
}

// ConfirmedByPeers tells whether that is so since the last outage.
func (r *Readiness) ConfirmedByPeers() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.confirmedByPeersLocked()
}

func (r *Readiness) confirmedByPeersLocked() bool { return r.confirmedOutages == r.outages() }

// unknownMeansNeverAccepted tells whether what this controller does not know was never accepted.
// A controller that began a moment ago may have begun after a loss that it could not see.
func (r *Readiness) unknownMeansNeverAccepted() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete && r.confirmedByPeersLocked() && !r.lossSuspectedLocked()
}

// ProvenCurrent tells whether this controller has found that it began with all records there
// were: else a job that it does not know may have been lost, and one that is unfinished by its
// record may be finished.
func (r *Readiness) ProvenCurrent() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.complete && !r.begunInRecovery && !r.rolledBack
}

// SetRolledBack takes in whether records may say less than users were told, as the leader knows.
func (r *Readiness) SetRolledBack(rolledBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rolledBack = rolledBack
}

// AssumeComplete has this controller take what it does not know for never accepted, though no
// other controller has told how much it knows.
func (r *Readiness) AssumeComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// NotePeerCount takes in how many jobs another controller knew. The next time that this one has
// read all changes, it must know of as many. While the other compares records (uncertain), this
// one's cache does not become complete.
func (r *Readiness) NotePeerCount(jobs int, uncertain bool) {
	r.mu.Lock()
	r.peers = peerCount{jobs: max(r.peers.jobs, jobs), told: !uncertain}
	complete := r.complete
	r.mu.Unlock()
	if !complete {
		r.requestRead()
	}
}

// peerCount returns what other controllers have told by now.
func (r *Readiness) peerCount() peerCount {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peers
}

// comparePeerCountLocked compares how many jobs are known with what peers had told before the
// read began. After the first read that has as many, the cache is complete. It returns whether
// jobs are missing and that was not returned before.
func (r *Readiness) comparePeerCountLocked(known int, peers peerCount) (missing bool) {
	missing = known < peers.jobs && peers.jobs > r.reportedPeerCount
	if missing {
		r.reportedPeerCount = peers.jobs
	}
	r.complete = r.complete || peers.told && known >= peers.jobs
	return missing
}

// completenessPending tells whether the next read may make the cache complete.
func (r *Readiness) completenessPending() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peers.told && !r.complete
}

// comparePeerCount compares what was read with what peers had told before the read began.
func (c *Cache) comparePeerCount(peers peerCount) {
	c.mu.Lock()
	known := c.entries.size()
	missing := c.Readiness.comparePeerCountLocked(known, peers)
	c.mu.Unlock()
	if missing {
		c.reportLoss(detection.Evidence{Kind: detection.RecordMissing, Known: uint64(peers.jobs), Found: uint64(known)})
	}
}
