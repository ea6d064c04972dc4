package jobcache

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// ErrRecordsMayBeMissing means that the job is not known but may have been accepted, because
// records may be missing.
var ErrRecordsMayBeMissing = errors.New("records may be missing")

// Cache is a controller's copy of all job records. It serves all polls that wait at the same time
// with two small reads of the key-value store.
//
// Get is as current as a linearizable read of the record: the cache holds every job as of a
// revision, and Get waits until the cache has reached a revision that was read after the call.
//
// Run keeps the cache up to date. All methods may be called by several goroutines concurrently.
// Methods whose names end in Locked require the caller to hold the mutex.
type Cache struct {
	// OnLoss is called with each piece of evidence that records are lost, while no lock is held.
	// It must be set before the cache is used.
	OnLoss func(detection.Evidence)
	// Readiness reports which conclusions the content of the cache allows.
	Readiness *Readiness

	suspectFor time.Duration // see Options
	newest     detection.Watermark
	reader     *reader
	auditor    *auditor

	// mu guards the fields below, the fields of Readiness and the auditor's tickets.
	mu            sync.RWMutex
	entries       entryTable
	unfinished    unfinishedRecords
	cancellations cancellationLog
	lost          lostJobs
	recent        recentChanges
	announced     announcements
}

// Options are the time intervals and limits of a cache.
type Options struct {
	// MinReadInterval is the minimum time between two reads of the key-value store.
	MinReadInterval time.Duration
	// IdleReadInterval is the time after which the cache reads even without a poll.
	IdleReadInterval time.Duration
	// SuspectFor is the time for which a piece of evidence of a loss makes it uncertain whether
	// an unknown job was accepted.
	SuspectFor time.Duration
	// CancellationsKept is the minimum number of most recent cancellations that are kept.
	CancellationsKept int
}

// New returns an empty cache. Run fills it.
func New(store *kvstore.Client, options Options) *Cache {
	c := &Cache{
		suspectFor: options.SuspectFor, entries: newEntryTable(), unfinished: unfinishedRecords{},
		cancellations: cancellationLog{minKept: options.CancellationsKept}, lost: newLostJobs(), announced: announcements{},
	}
	c.auditor = &auditor{cache: c, store: store}
	c.reader = &reader{cache: c, store: store, minReadInterval: options.MinReadInterval, idleReadInterval: options.IdleReadInterval, requests: make(chan chan error)}
	c.Readiness = &Readiness{mu: &c.mu, outages: store.Outages, requestRead: c.reader.requestRead}
	return c
}

// Run reads the store on request until the context ends. A request made during a read waits for
// the next read, because the store may have executed the current one before the request.
func (c *Cache) Run(ctx context.Context) { c.reader.run(ctx) }

// Get returns a job as of a moment after the call. If found is false, the job was not accepted by
// then. The error is ErrRecordsMayBeMissing if that cannot be determined, the error of the read
// if it failed, or the error of the context.
func (c *Cache) Get(ctx context.Context, id string) (rec jobs.Record, found bool, err error) {
	if err := c.reader.waitForRead(ctx); err != nil {
		return jobs.Record{}, false, err
	}
	rec, found = c.Known(id)
	if !found && !c.NeverAccepted(id) {
		return jobs.Record{}, false, ErrRecordsMayBeMissing
	}
	return rec, found, nil
}

// Known returns the state and the number of tasks of a job as the cache has them, without a read.
// They may be out of date.
func (c *Cache) Known(id string) (rec jobs.Record, found bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, found := c.entries.get(id)
	return jobs.Record{State: e.state, Tasks: e.tasks}, found
}

// NeverAccepted reports whether a job that is not in the cache was certainly never accepted.
func (c *Cache) NeverAccepted(id string) bool {
	c.mu.RLock()
	announced := c.announced.has(id)
	c.mu.RUnlock()
	return !announced && c.Readiness.unknownMeansNeverAccepted()
}

// JobCount returns the number of jobs in the cache.
func (c *Cache) JobCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries.size()
}

// RecordRevision returns the known revision of a job's record, or 0 if there is none.
func (c *Cache) RecordRevision(id string) uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, _ := c.entries.get(id)
	return e.revision
}

// UnfinishedRecord returns the last known record of a job that is not finished, or nil if there
// is none.
func (c *Cache) UnfinishedRecord(id string) json.RawMessage {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.unfinished[id]
}

// CancellationsAfter returns the cancellations after a revision that this controller may have
// reported to users; complete is false if some of them may be missing. The cache learns of a
// cancellation before any user is told of it. Cancellations reported by an earlier incarnation
// were in the records at the initial read.
func (c *Cache) CancellationsAfter(revision uint64) (later []jobs.Cancellation, complete bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	later, complete = c.cancellations.after(revision)
	return later, complete && c.Readiness.initialReadDone
}

// NewestRevision returns the newest revision of the key-value store that this controller has read
// or written.
func (c *Cache) NewestRevision() uint64 { return c.newest.Value() }

// reportLoss suspects a loss and passes the evidence to OnLoss. The caller must not hold a lock.
func (c *Cache) reportLoss(evidence detection.Evidence) {
	c.Readiness.SuspectLossUntil(time.Now().Add(c.suspectFor))
	if c.OnLoss != nil {
		c.OnLoss(evidence)
	}
}
