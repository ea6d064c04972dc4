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

// ErrRecordsMayBeMissing means that a job is not known, but that records may be missing: it may
// have been accepted all the same.
var ErrRecordsMayBeMissing = errors.New("records may be missing")

// Cache is this controller's copy of all job records. It answers users' polls at the cost of
// two small reads of the key-value store for all polls that wait at a time.
//
// An answer is as good as a read of its own record: the cache holds every job as of a revision,
// and is brought up to one that was read after the poll came in.
//
// Run keeps the cache up to date. All methods may be called by any goroutine; those whose names
// end in Locked expect their caller to hold the mutex.
type Cache struct {
	// OnLoss is called with each piece of evidence that records are lost, without a lock held.
	// It has to be set before the cache is used.
	OnLoss func(detection.Evidence)
	// Readiness tells what may be concluded from what the cache holds.
	Readiness *Readiness

	suspectFor time.Duration // see Options
	newest     detection.Watermark
	reader     *reader
	auditor    *auditor

	// mu guards all that follows, and the fields of Readiness and of the auditor's tickets.
	mu            sync.RWMutex
	entries       entryTable
	unfinished    unfinishedRecords
	cancellations cancellationLog
	lost          lostJobs
	recent        recentChanges
	announced     announcements
}

// Options are the timers and bounds of a cache.
type Options struct {
	// ReadGap is the least time between two reads of the key-value store.
	ReadGap time.Duration
	// IdleReadInterval is after what time the cache reads even if nobody polls.
	IdleReadInterval time.Duration
	// SuspectFor is for how long one piece of evidence of a loss makes what is not known
	// uncertain.
	SuspectFor time.Duration
	// CancellationsKept is how many of the last cancellations are remembered at least.
	CancellationsKept int
}

// New makes an empty cache; Run fills it.
func New(store *kvstore.Client, options Options) *Cache {
	c := &Cache{
		suspectFor: options.SuspectFor, entries: newEntryTable(), unfinished: unfinishedRecords{},
		cancellations: cancellationLog{keep: options.CancellationsKept}, lost: newLostJobs(), announced: announcements{},
	}
	c.auditor = &auditor{cache: c, store: store}
	c.reader = &reader{cache: c, store: store, gap: options.ReadGap, idle: options.IdleReadInterval, requests: make(chan chan error)}
	c.Readiness = &Readiness{mu: &c.mu, outages: store.Outages, requestRead: c.reader.request}
	return c
}

// Run reads for those who ask until the context ends. Who asks while a read is under way waits
// for the next: that one may have been carried out already.
func (c *Cache) Run(ctx context.Context) { c.reader.run(ctx) }

// Get returns a job as of a moment after the call. Found is false for one that was not accepted
// by then; the error is ErrRecordsMayBeMissing where that cannot be told, that of the read if it
// failed, or that of the context.
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

// Known returns the state and the tasks of a job as this controller knows them, however old,
// without a read.
func (c *Cache) Known(id string) (rec jobs.Record, found bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, found := c.entries.get(id)
	return jobs.Record{State: e.state, Tasks: e.tasks}, found
}

// NeverAccepted tells whether a job that this controller does not know was certainly never
// accepted.
func (c *Cache) NeverAccepted(id string) bool {
	c.mu.RLock()
	announced := c.announced.has(id)
	c.mu.RUnlock()
	return !announced && c.Readiness.unknownMeansNeverAccepted()
}

// JobCount returns how many jobs this controller knows.
func (c *Cache) JobCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries.size()
}

// RecordRevision returns the revision of a job's record as this controller knows it; 0 if there
// is none.
func (c *Cache) RecordRevision(id string) uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, _ := c.entries.get(id)
	return e.revision
}

// UnfinishedRecord returns the record of a job that is not finished, as this controller last
// saw it; nil if there is none.
func (c *Cache) UnfinishedRecord(id string) json.RawMessage {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.unfinished[id]
}

// CancellationsAfter returns all cancellations after a revision that this controller may have
// told a user of; complete is false if it does not know them all. What it learns of is taken in
// before anybody is told. What an earlier process of this controller told was in the records
// when this one first read all of them.
func (c *Cache) CancellationsAfter(revision uint64) (later []jobs.Cancellation, complete bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	later, complete = c.cancellations.after(revision)
	return later, complete && c.Readiness.initialReadDone
}

// NewestRevision returns the newest revision of the key-value store that this controller has
// read or written.
func (c *Cache) NewestRevision() uint64 { return c.newest.Value() }

// reportLoss hands on evidence that records are lost. No lock may be held.
func (c *Cache) reportLoss(evidence detection.Evidence) {
	c.Readiness.SuspectLossUntil(time.Now().Add(c.suspectFor))
	if c.OnLoss != nil {
		c.OnLoss(evidence)
	}
}
