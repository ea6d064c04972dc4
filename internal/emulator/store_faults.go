package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// SetLimits changes the limits for later requests. Clients are not told.
func (s *KVStore) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// SetOutage starts or ends an outage. Leases do not expire during an outage, and each gets its
// full duration again when the outage ends.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for id, granted := range s.leases {
		granted.timer.Stop()
		if !on {
			granted.timer = time.AfterFunc(granted.duration, func() { s.expireLease(id) })
		}
	}
	s.wakeWatches()
}

// SetOverloaded sets whether the store responds to all requests but watches with status 429.
func (s *KVStore) SetOverloaded(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloaded = on
}

// SetRefused sets whether the store responds to one host with status 503 and serves the others.
func (s *KVStore) SetRefused(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedHosts[host] = on
}

// SetWatchLag hides the given number of newest changes from watches.
func (s *KVStore) SetWatchLag(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLag = changes
	s.wakeWatches()
}

// SetHistoryLength sets how many of the newest changes watches can ask for.
func (s *KVStore) SetHistoryLength(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLength = changes
}

// RequestCount returns the number of requests for a path.
func (s *KVStore) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[path]
}

// RejectedTransactions returns the number of transactions that were malformed or too large.
func (s *KVStore) RejectedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedTransactions
}

// LoseKeys removes the keys that match and returns them. Watches show the removal as a change at
// a new revision, as they do for a delete request. If silently is true, watches show nothing and
// the revision does not change.
func (s *KVStore) LoseKeys(silently bool, match func(key string) bool) (lost []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Clone(s.keysWithPrefix("")) {
		if !match(key) {
			continue
		}
		if !silently && len(lost) == 0 {
			s.revision++
		}
		lost = append(lost, key)
		s.removeKey(key)
		if !silently {
			s.history = append(s.history, change{Remove: key, Revision: s.revision})
		}
	}
	s.wakeWatches()
	return lost
}

// WithPrefix returns a function that reports whether a key has the prefix.
func WithPrefix(prefix string) func(string) bool {
	return func(key string) bool { return strings.HasPrefix(key, prefix) }
}

// WithKey returns a function that reports whether a key is the given one.
func WithKey(key string) func(string) bool {
	return func(other string) bool { return other == key }
}

// StoreBackup is a copy of the keys, history and revision of a KVStore.
type StoreBackup struct {
	keys     map[string]entry
	history  []change
	revision uint64
}

// Backup returns a copy of all keys and changes. Leases are not included.
func (s *KVStore) Backup() StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreBackup{keys: maps.Clone(s.keys), history: slices.Clone(s.history), revision: s.revision}
}

// Restore replaces the contents of the store with a backup. All later changes are lost and their
// revisions are used again. Leases remain, because a backup does not contain them.
func (s *KVStore) Restore(b StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.history, s.revision = maps.Clone(b.keys), slices.Clone(b.history), b.revision
	s.sortedKeys = nil
	s.wakeWatches()
}

// Values returns, for every key, its revision and value as text.
func (b StoreBackup) Values() map[string]string {
	values := map[string]string{}
	for key, e := range b.keys {
		values[key] = fmt.Sprintf("%d %s", e.revision, e.value)
	}
	return values
}
