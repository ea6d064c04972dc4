package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// Cache is this node's copy of all jobs' storedStates. It answers users' polls at the
// cost of two small reads of the state service for all polls that wait at a time.
//
// An answer is as good as a read of its own record: the cache holds every job
// as of a revision, and is brought up to one that was read after the poll came in.
type Cache struct {
	store *kvstore.Client
	gap   time.Duration // least time between two reads
	idle  time.Duration // the cache is kept up to date without polls, too
	asks  chan chan error
	// doubtFor is how long one piece of evidence makes what is not known uncertain.
	doubtFor time.Duration
	// OnLoss is told what shows that records are lost.
	OnLoss func(detection.Evidence)

	mu   sync.RWMutex
	jobs briefTable
	// unfinished holds the records of jobs that are not over, as they stand in the state
	// service: should that lose them, nobody else has the descriptions.
	unfinished map[string]json.RawMessage
	listed     bool           // all records have been read since this process began
	recent     []Cancellation // in the order in which this node learnt of them
	keep       int            // so many of them, at least
	dropped    uint64         // up to this revision some may be missing
	losses     losses
	witnesses  witnesses
	heard      map[string]heardJob // changes that others know and this node has not read yet
	newest     detection.Watermark // revision that was read or written
	// Owned by Run.
	whole    bool
	revision uint64
}

// NewCache makes an empty cache; Run fills it. It remembers the last keep
// cancellations in order, and takes records for uncertain for a time after each
// evidence of a loss.
func NewCache(store *kvstore.Client, gap, idle, doubtFor time.Duration, keep int) *Cache {
	return &Cache{
		store: store, gap: gap, idle: idle, doubtFor: doubtFor, keep: keep,
		asks: make(chan chan error), jobs: newBriefTable(), unfinished: map[string]json.RawMessage{}, losses: newLosses(), heard: map[string]heardJob{},
	}
}

// Cancellations returns all cancellations after a revision that this node may have
// told a user of; complete is false if it does not know them all. What it learns of
// is taken in before anybody is told. What an earlier process of this node told was
// in the records when this one first read all of them.
func (m *Cache) Cancellations(after uint64) (later []Cancellation, complete bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, c := range m.recent {
		if c.Revision > after {
			later = append(later, c)
		}
	}
	return later, m.listed && after >= m.dropped
}

// Get returns a job as of a moment after the call. Found is false for one that
// was not accepted by then; it is ErrUncertain where that cannot be told.
func (m *Cache) Get(ctx context.Context, id string) (rec Record, found bool, err error) {
	fresh := make(chan error, 1)
	select {
	case m.asks <- fresh:
	case <-ctx.Done():
		return Record{}, false, ctx.Err()
	}
	select {
	case err := <-fresh:
		if err != nil {
			return Record{}, false, err
		}
	case <-ctx.Done():
		return Record{}, false, ctx.Err()
	}
	rec, found = m.Known(id)
	if !found && !m.NeverAccepted(id) {
		return Record{}, false, ErrUncertain
	}
	return rec, found, nil
}

// Run reads for those who ask until the context ends. Who asks while a read is
// under way waits for the next: that one may have been carried out already.
func (m *Cache) Run(ctx context.Context) {
	var lastRead time.Time
	idle := m.gap // others may soon need to know what this node has told users
	for {
		var waiting []chan error
		select {
		case <-ctx.Done():
			return
		case c := <-m.asks:
			waiting = append(waiting, c)
		case <-time.After(idle):
		}
		idle = m.idle
		pause := time.After(m.gap - time.Since(lastRead))
		for pausing := true; pausing; {
			select {
			case <-ctx.Done():
				return
			case c := <-m.asks:
				waiting = append(waiting, c)
			case <-pause:
				pausing = false
			}
		}
		lastRead = time.Now()
		expected, ready := m.expectation()
		heard := m.heardBy()
		err := m.read(ctx)
		if err == nil {
			m.missHeard(heard)
			m.checkExpected(expected, ready)
		}
		for _, c := range waiting {
			c <- err
		}
		if err == nil {
			err = m.verify(ctx)
		}
		if err != nil {
			slog.Debug("records not read", "reason", err)
		}
		if m.pending() || m.becomingSure() || m.witnessesWanted() {
			idle = m.gap
		}
	}
}

// ErrLags means that the changes up to now were not to be had.
var ErrLags = errors.New("changes lag")

// readTries is how often a read asks for changes that lag.
const readTries = 3

// read brings the cache up to date. A watch may lag, or be empty because the
// service does not serve this node: the revision, read first, is what it has to
// reach.
func (m *Cache) read(ctx context.Context) error {
	if err := m.checkWitnesses(ctx); err != nil {
		return err
	}
	if m.whole {
		request := m.newest.Baseline()
		least, err := m.store.Revision(ctx)
		if err != nil {
			return err
		}
		if m.checkRevision(request, least); !m.whole {
			return m.list(ctx)
		}
		for range readTries {
			request := m.newest.Baseline()
			revision, changes, err := m.store.Watch(ctx, RecordPrefix, m.revision, 0)
			if errors.Is(err, kvstore.ErrCompacted) {
				m.whole = false
				return m.list(ctx)
			}
			if err != nil {
				return err
			}
			for _, c := range changes {
				if c.Set != "" {
					m.set(c.Set, c.Value, c.Revision)
				} else {
					m.Removed(c.Remove, c.Revision)
				}
			}
			m.revision = max(m.revision, revision)
			m.newest.Advance(request, revision)
			if m.revision >= least {
				return nil
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(m.gap):
			}
		}
		return ErrLags
	}
	return m.list(ctx)
}

// list reads all records. They are never removed, so that what is known of them
// is only added to: if more are known afterwards than were read, some may be missing.
func (m *Cache) list(ctx context.Context) error {
	if !m.listed {
		if err := m.readStatus(ctx); err != nil {
			return err
		}
	}
	request := m.newest.Baseline()
	all, revision, err := m.readAll(ctx, 0, func(string) {})
	if err != nil {
		return err
	}
	if m.checkRevision(request, revision) {
		return m.list(ctx)
	}
	m.mu.Lock()
	known := m.jobs.size() - m.losses.missing
	m.mu.Unlock()
	if known > all.read {
		if err := m.findMissing(ctx, 0); err != nil {
			return err
		}
	}
	m.whole, m.revision = true, revision
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	return nil
}

// set takes in a record. Changes that the list was ahead of come once more after
// it: they must not turn an answer back while they are taken in.
func (m *Cache) set(key string, value json.RawMessage, revision uint64) {
	var rec struct {
		State string `json:"stance"`
		Tasks int    `json:"tasks"`
	}
	if err := jsonv2.Unmarshal(value, &rec); err != nil {
		slog.Error("job record unreadable", "key", key, "reason", err)
		return
	}
	b := brief{tasks: rec.Tasks, revision: revision}
	b.state = stateText(rec.State)
	if evidence := m.take(IDOf(key), b, value); evidence != "" {
		slog.Error("record says less than is known", "key", key, "reason", string(evidence))
		m.tell(detection.Evidence{Kind: evidence, Key: key, Found: revision})
	}
}

// stateText is one copy of a state's text for all jobs; empty for what is none.
func stateText(state string) string {
	for _, s := range []string{Queued, Done, Cancelled} {
		if s == state {
			return s
		}
	}
	return ""
}

// take takes in what a record says, and tells what shows that it is not the newest.
func (m *Cache) take(id string, found brief, value json.RawMessage) (evidence detection.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, _ := m.jobs.get(id)
	if old.revision > found.revision {
		return ""
	}
	now, evidence := merge(old, found)
	m.jobs.set(id, now)
	m.seen(id, now)
	m.witnesses.add(id, found.revision)
	m.describe(id, now, value)
	if evidence != "" {
		was := m.note(lostEntry{strings.Clone(id), found.state})
		if was.found == found.state {
			return "" // told before
		}
		return evidence
	}
	m.unnote(id)
	if now.state == Cancelled && old.revision < now.revision {
		m.remember(Cancellation{id, now.revision})
	}
	return ""
}

func (m *Cache) remember(c Cancellation) {
	m.recent = append(m.recent, c)
	if len(m.recent) <= 2*m.keep {
		return
	}
	slices.SortFunc(m.recent, func(a, b Cancellation) int { return cmp.Compare(a.Revision, b.Revision) })
	cut := len(m.recent) - m.keep
	m.dropped = max(m.dropped, m.recent[cut-1].Revision)
	m.recent = append(m.recent[:0], m.recent[cut:]...)
}
