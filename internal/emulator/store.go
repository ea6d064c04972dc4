package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// KVStore emulates the key-value store, which is strongly consistent and has leases and watches.
// It implements http.Handler; other methods inject faults. All methods are safe for concurrent
// use.
type KVStore struct {
	mu         sync.Mutex
	keys       map[string]entry
	sortedKeys []string // all keys in order; nil after a key was added or removed
	revision   uint64   // revision of the last change
	history    []change // in order of revision
	leases     map[uint64]*lease
	lastLease  uint64
	changed    chan struct{} // closed and replaced when open watches must check for changes

	limits         StoreLimits
	windowStart    time.Time // start of the second in which writes are counted
	writesInWindow int

	outage               bool
	overloaded           bool
	refusedHosts         map[string]bool
	watchLag             int            // number of newest changes that watches do not show yet
	historyLength        int            // number of changes that watches can ask for
	requests             map[string]int // number of requests by path
	rejectedTransactions int            // number of malformed transactions and of those that exceed the limits
}

// entry is the value of a key with its metadata.
type entry struct {
	value    json.RawMessage
	revision uint64 // revision of the last change of the key
	lease    uint64 // lease that the key is attached to; 0 for none
}

type lease struct {
	duration time.Duration
	timer    *time.Timer // expires the lease
}

// StoreLimits limits the bytes in a value, the writes in a transaction and the writes per second
// that the store accepts.
type StoreLimits struct {
	ValueBytes, TxnOps, WritesPerSecond int
}

// NewKVStore returns an empty store with the protocol's default sizes and a high write rate.
func NewKVStore() *KVStore {
	return &KVStore{
		keys: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		limits:       StoreLimits{ValueBytes: 32 << 10, TxnOps: 12, WritesPerSecond: 1000},
		refusedHosts: map[string]bool{}, requests: map[string]int{}, historyLength: 10000,
	}
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *KVStore) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Put sets a key without checking limits, as if its value had been stored earlier.
func (s *KVStore) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setKey(key, entry{value, s.revision, 0})
	s.history = append(s.history, change{Set: key, Value: value, Revision: s.revision})
	s.wakeWatches()
}

// Keys returns all keys with a prefix, sorted.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.keysWithPrefix(prefix))
}

// Revision returns the revision of the last change.
func (s *KVStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// keysWithPrefix returns the keys with a prefix as a subslice of sortedKeys. s.mu must be held.
func (s *KVStore) keysWithPrefix(prefix string) []string {
	if len(s.sortedKeys) != len(s.keys) {
		s.sortedKeys = slices.Sorted(maps.Keys(s.keys))
	}
	first, _ := slices.BinarySearch(s.sortedKeys, prefix)
	end := first
	for end < len(s.sortedKeys) && strings.HasPrefix(s.sortedKeys[end], prefix) {
		end++
	}
	return s.sortedKeys[first:end]
}

// setKey sets a key without recording a change. s.mu must be held.
func (s *KVStore) setKey(key string, e entry) {
	if _, exists := s.keys[key]; !exists {
		s.sortedKeys = nil
	}
	s.keys[key] = e
}

// removeKey removes a key without recording a change. s.mu must be held.
func (s *KVStore) removeKey(key string) {
	s.sortedKeys = nil
	delete(s.keys, key)
}

// wakeWatches makes open watches check for changes. s.mu must be held.
func (s *KVStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLease removes a lease that was not renewed in time. Leases do not expire during an outage.
func (s *KVStore) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.leases[id] == nil {
		return
	}
	s.removeLease(id)
}

// removeLease removes a lease and the keys that are attached to it. s.mu must be held.
func (s *KVStore) removeLease(id uint64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var attachedKeys []string
	for key, stored := range s.keys {
		if stored.lease == id {
			attachedKeys = append(attachedKeys, key)
		}
	}
	if len(attachedKeys) == 0 {
		return
	}
	s.revision++
	for _, key := range attachedKeys {
		s.removeKey(key)
		s.history = append(s.history, change{Remove: key, Revision: s.revision})
	}
	s.wakeWatches()
}
