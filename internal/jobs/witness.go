package jobs

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// A state service that is put back in an outage gives revisions out again. Once new changes
// have overtaken the old ones, its revision tells nothing any more. What tells are the newest
// changes that a node knows: each record must still be at that revision, or a later one.

// mostWitnesses is how many of the newest changes are kept. One alone may have been written
// again since.
const mostWitnesses = 8

// witness is a record and the revision at which this node knows it.
type witness struct {
	id       string
	revision uint64
}

// witnesses are the newest changes known, the newest last. They are guarded by the cache's lock.
type witnesses struct {
	newest  []witness
	outages uint64    // of the state service, before the last check
	checked time.Time // when that was begun
	wanted  bool      // another is asked for
}

// add takes in a change.
func (w *witnesses) add(id string, revision uint64) {
	if n := len(w.newest); revision == 0 || n > 0 && w.newest[n-1].revision >= revision {
		return
	}
	if len(w.newest) == mostWitnesses {
		copy(w.newest, w.newest[1:])
		w.newest = w.newest[:mostWitnesses-1]
	}
	w.newest = append(w.newest, witness{strings.Clone(id), revision})
}

// CheckWitnesses has the newest changes that this node knows compared with the records soon.
func (m *Cache) CheckWitnesses() {
	m.mu.Lock()
	m.witnesses.wanted = true
	m.mu.Unlock()
	m.Check()
}

func (m *Cache) witnessesWanted() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.witnesses.wanted
}

// WitnessesChecked returns when the last comparison that found nothing was begun.
func (m *Cache) WitnessesChecked() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.witnesses.checked
}

// checkWitnesses compares the newest changes with the records, after an outage or where
// somebody wants to know. If one is gone, the service was put back.
func (m *Cache) checkWitnesses(ctx context.Context) error {
	began, outages := time.Now(), m.store.Outages()
	m.mu.Lock()
	due := m.witnesses.wanted || m.witnesses.outages != outages
	known := append([]witness(nil), m.witnesses.newest...)
	m.mu.Unlock()
	if !due {
		return nil
	}
	gone, err := m.firstGone(ctx, known)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.witnesses.wanted, m.witnesses.outages = false, outages
	if gone == nil {
		m.witnesses.checked = began
	}
	m.mu.Unlock()
	if gone != nil {
		slog.Error("state service put back", "record", gone.Key, "known", gone.Known, "found", gone.Found)
		m.forgetAllRevisions(0)
		m.tell(*gone)
	}
	return nil
}

// firstGone returns a record that stands at an older revision than is known, or is missing.
func (m *Cache) firstGone(ctx context.Context, known []witness) (*detection.Evidence, error) {
	var guards []kvstore.Guard
	revisions := map[string]uint64{}
	for _, w := range known {
		if revisions[RecordKey(w.id)] == 0 {
			guards = append(guards, kvstore.Guard{Key: RecordKey(w.id)})
		}
		revisions[RecordKey(w.id)] = w.revision
	}
	for i := range guards {
		guards[i].Revision = revisions[guards[i].Key]
	}
	if len(guards) == 0 {
		return nil, nil
	}
	_, changed, err := m.store.Commit(ctx, guards, nil)
	if err != nil {
		return nil, err
	}
	for _, key := range changed {
		p, _, err := m.store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if p.Revision < revisions[key] {
			return &detection.Evidence{Kind: detection.RevisionBack, Key: key, Known: revisions[key], Found: p.Revision}, nil
		}
	}
	return nil, nil
}

// forgetAllRevisions takes in that the service was put back: revisions above one are of the
// past, and all is read anew.
func (m *Cache) forgetAllRevisions(above uint64) {
	m.whole = false
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs.forgetRevisions(above)
	m.witnesses.newest = nil
	m.losses.putBack = true // until the leader says that it is made good
}
