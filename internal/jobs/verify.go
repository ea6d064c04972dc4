package jobs

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// Newest returns the newest revision of the state service that this node has read or written.
func (m *Cache) Newest() uint64 { return m.newest.Value() }

// Ask has to be called before a record is read or written that Take takes in.
func (m *Cache) Ask() detection.Baseline { return m.newest.Baseline() }

// Take takes in a record that was read or written elsewhere in this process. If the service
// was put back meanwhile, its revision may be of the past, and the record lost.
func (m *Cache) Take(asked detection.Baseline, p kvstore.Pair) {
	if !m.newest.Advance(asked, p.Revision) {
		p.Revision = 0
	}
	m.set(p.Key, p.Value, p.Revision)
}

// checkRevision takes in a revision that was just read. One below those before shows that
// the service was put back: revisions are given out again, and all is read anew.
func (m *Cache) checkRevision(request detection.Baseline, found uint64) (back bool) {
	l, back := m.newest.Observe(request, detection.RevisionBack, "", found)
	if !back {
		return false
	}
	slog.Error("state service put back", "known", l.Known, "found", l.Found)
	m.forgetAllRevisions(found)
	m.tell(l)
	return true
}

// listing is one reading of all records.
type listing struct {
	read  int
	older []kvstore.Pair // records of an older revision than is known
}

// readAll reads all records once. A record is older than known if that was learnt while
// its page was on the way, or if the service was put back: only what was known before the
// reading began proves the latter.
func (m *Cache) readAll(ctx context.Context, pause time.Duration, each func(id string)) (l listing, revision uint64, err error) {
	revision, err = m.store.EachPaced(ctx, RecordPrefix, pause, func(p kvstore.Pair) {
		l.read++
		id := IDOf(p.Key)
		each(id)
		if m.knownRevision(id) > p.Revision {
			l.older = append(l.older, p)
			return
		}
		m.set(p.Key, p.Value, p.Revision)
	})
	if err != nil {
		return l, 0, err
	}
	for _, p := range l.older {
		if m.knownRevision(IDOf(p.Key)) <= revision {
			m.forgetRevision(IDOf(p.Key))
			m.tell(detection.Evidence{Kind: detection.RecordOlder, Key: p.Key, Found: p.Revision})
			m.set(p.Key, p.Value, p.Revision)
		}
	}
	return l, revision, nil
}

func (m *Cache) knownRevision(id string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, _ := m.jobs.get(id)
	return b.revision
}

func (m *Cache) forgetRevision(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ := m.jobs.get(id)
	b.revision = 0
	m.jobs.set(id, b)
}

// findMissing reads all records once more and notes each job that is known and not among
// them. It pauses between two pages. Jobs accepted since it began prove nothing.
func (m *Cache) findMissing(ctx context.Context, pause time.Duration) error {
	m.mu.RLock()
	left := m.jobs.ids()
	m.mu.RUnlock()
	_, revision, err := m.readAll(ctx, pause, left.remove)
	if err != nil {
		return err
	}
	first, count := detection.Evidence{}, 0
	m.mu.Lock()
	left.each(func(id string) {
		b, known := m.jobs.get(id)
		if known && b.revision <= revision && m.miss(id, b) {
			first = detection.Evidence{Kind: detection.RecordMissing, Key: RecordKey(id), Known: b.revision}
			count++
		}
	})
	m.mu.Unlock()
	if count > 0 {
		slog.Error("records missing", "jobs", count)
		m.tell(first)
	}
	return nil
}

// Audit compares all records with what this node knows, again and again.
func (m *Cache) Audit(ctx context.Context, every, pause time.Duration) {
	for every > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		if !m.SawAll() {
			continue
		}
		if err := m.findMissing(ctx, pause); err != nil {
			slog.Debug("records not audited", "reason", err)
		}
	}
}

// Verify has all records compared with what this node knows, once. Verified tells when
// that is done.
func (m *Cache) Verify() (ticket uint64) {
	m.mu.Lock()
	m.losses.wanted++
	ticket = m.losses.wanted
	m.mu.Unlock()
	m.Check()
	return ticket
}

// Verified tells whether a comparison that was asked for has been made.
func (m *Cache) Verified(ticket uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.verified >= ticket
}

// verify makes the comparisons that were asked for by now, in one.
func (m *Cache) verify(ctx context.Context) error {
	m.mu.RLock()
	wanted, verified := m.losses.wanted, m.losses.verified
	m.mu.RUnlock()
	if wanted == verified {
		return nil
	}
	if err := m.findMissing(ctx, 0); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losses.verified = wanted
	return nil
}

// pending tells whether a comparison is asked for.
func (m *Cache) pending() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.losses.wanted != m.losses.verified
}

// Check has the cache read as soon as it may.
func (m *Cache) Check() {
	select {
	case m.asks <- make(chan error, 1):
	default: // it is reading, or about to
	}
}
