package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/state"
)

// Cache is this node's copy of all jobs' storedStates. It answers users' polls at the
// cost of two small reads of the state service for all polls that wait at a time.
//
// An answer is as good as a read of its own record: the cache holds every job
// as of a revision, and is brought up to one that was read after the poll came in.
type Cache struct {
	store *state.Client
	gap   time.Duration // least time between two reads
	idle  time.Duration // the cache is kept up to date without polls, too
	asks  chan chan error

	mu      sync.RWMutex
	jobs    briefTable
	listed  bool           // all records have been read since this process began
	recent  []Cancellation // in the order in which this node learnt of them
	keep    int            // so many of them, at least
	dropped uint64         // up to this revision some may be missing
	// Owned by Run.
	whole    bool
	revision uint64
}

// NewCache makes an empty cache; Run fills it. It remembers the last keep
// cancellations in order.
func NewCache(store *state.Client, gap, idle time.Duration, keep int) *Cache {
	return &Cache{store: store, gap: gap, idle: idle, keep: keep, asks: make(chan chan error), jobs: newBriefTable()}
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
// was not accepted by then.
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
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, found := m.jobs.get(id)
	return Record{State: b.state, Tasks: b.tasks}, found, nil
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
		err := m.read(ctx)
		for _, c := range waiting {
			c <- err
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
	if m.whole {
		least, err := m.store.Revision(ctx)
		if err != nil {
			return err
		}
		for range readTries {
			revision, changes, err := m.store.Watch(ctx, RecordPrefix, m.revision, 0)
			if errors.Is(err, state.ErrCompacted) {
				m.whole = false
				return m.list(ctx)
			}
			if err != nil {
				return err
			}
			for _, c := range changes {
				if c.Set != "" {
					m.set(c.Set, c.Value, c.Revision)
				}
			}
			m.revision = max(m.revision, revision)
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
// is only added to.
func (m *Cache) list(ctx context.Context) error {
	revision, err := m.store.Each(ctx, RecordPrefix, func(p state.Pair) { m.set(p.Key, p.Value, p.Revision) })
	if err != nil {
		return err
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
	for _, s := range []string{Queued, Done, Cancelled} {
		if s == rec.State {
			b.state = s // one copy of the text for all jobs
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id := IDOf(key)
	old, _ := m.jobs.get(id)
	if old.revision > revision {
		return
	}
	m.jobs.set(id, b)
	if b.state == Cancelled && old.revision < revision {
		m.remember(Cancellation{id, revision})
	}
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
