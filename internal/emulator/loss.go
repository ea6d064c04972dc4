package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreyslip/internal/jobs"
)

// LoseKeys removes the keys that match and returns them. The watch shows it as a change, as
// of a service that is told to delete; silently, nothing shows and the revision stays.
func (s *KVStore) LoseKeys(silently bool, match func(key string) bool) (lost []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Clone(s.sorted("")) {
		if !match(key) {
			continue
		}
		if !silently && len(lost) == 0 {
			s.rev++
		}
		lost = append(lost, key)
		s.remove(key)
		if !silently {
			s.log = append(s.log, change{Remove: key, Revision: s.rev})
		}
	}
	s.wake()
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
	keys map[string]entry
	log  []change
	rev  uint64
}

// Backup copies all keys and changes.
func (s *KVStore) Backup() StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreBackup{maps.Clone(s.keys), slices.Clone(s.log), s.rev}
}

// Restore puts the service back to a backup: all changes since are lost, and revisions
// are given out again. Leases live on, as they are not part of it.
func (s *KVStore) Restore(b StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.log, s.rev = maps.Clone(b.keys), slices.Clone(b.log), b.rev
	s.ordered = nil
	s.wake()
}

// Revision returns the revision of the last change.
func (s *KVStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// Values returns the revision and the value of every key.
func (b StoreBackup) Values() map[string]string {
	values := map[string]string{}
	for key, e := range b.keys {
		values[key] = fmt.Sprintf("%d %s", e.revision, e.value)
	}
	return values
}

// AllTasksDone tells whether every task of a job has completed on some machine.
func (w *World) AllTasksDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allDone(id)
}

// Spec returns a job's description as its user uploaded it.
func (w *World) Spec(id string) *jobs.Spec { return w.job(id) }
