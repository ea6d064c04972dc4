package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// SetLimits changes what is taken from now on, without notice.
func (s *KVStore) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// SetOutage starts or ends an outage. Leases do not end during it, and every one
// has its full time again when it ends.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for id, held := range s.leases {
		held.timer.Stop()
		if !on {
			held.timer = time.AfterFunc(held.life, func() { s.expireLease(id) })
		}
	}
	s.wakeWatches()
}

// SetOverloaded answers every request 429, or no longer does.
func (s *KVStore) SetOverloaded(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloaded = on
}

// SetRefused answers one host 503, or no longer does, while the others are served.
func (s *KVStore) SetRefused(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedHosts[host] = on
}

// SetWatchLag makes watches miss so many of the newest changes.
func (s *KVStore) SetWatchLag(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLag = changes
	s.wakeWatches()
}

// SetHistoryLength sets how many changes watches can ask for.
func (s *KVStore) SetHistoryLength(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLength = changes
}

// RequestCount returns how many requests came under a path.
func (s *KVStore) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[path]
}

// RejectedTransactions returns how many transactions were larger than is taken.
func (s *KVStore) RejectedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// LoseKeys removes the keys that match and returns them. The watch shows it as a change, as
// of a service that is told to delete; silently, nothing shows and the revision stays.
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

// WithPrefix matches all keys with a prefix.
func WithPrefix(prefix string) func(string) bool {
	return func(key string) bool { return strings.HasPrefix(key, prefix) }
}

// WithKey matches one key.
func WithKey(key string) func(string) bool {
	return func(other string) bool { return other == key }
}

// StoreBackup is the state service as of a moment.
type StoreBackup struct {
	keys     map[string]entry
	history  []change
	revision uint64
}

// Backup copies all keys and changes.
func (s *KVStore) Backup() StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreBackup{keys: maps.Clone(s.keys), history: slices.Clone(s.history), revision: s.revision}
}

// Restore puts the service back to a backup: all changes since are lost, and revisions
// are given out again. Leases live on, as they are not part of it.
func (s *KVStore) Restore(b StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.history, s.revision = maps.Clone(b.keys), slices.Clone(b.history), b.revision
	s.sortedKeys = nil
	s.wakeWatches()
}

// Values returns the revision and the value of every key.
func (b StoreBackup) Values() map[string]string {
	values := map[string]string{}
	for key, e := range b.keys {
		values[key] = fmt.Sprintf("%d %s", e.revision, e.value)
	}
	return values
}
