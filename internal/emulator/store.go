package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// KVStore is the state service: a small key-value store with strong consistency, leases and
// watches. It is an http.Handler; faults are injected by its other methods. All may be
// called by several goroutines.
type KVStore struct {
	mu         sync.Mutex
	keys       map[string]entry
	sortedKeys []string // all keys in order; nil if one has come or gone since
	revision   uint64   // of the last change
	history    []change // in order of revision
	leases     map[uint64]*lease
	lastLease  uint64
	changed    chan struct{} // closed when watches have to look again

	limits         StoreLimits
	windowStart    time.Time // of the second in which writes are counted
	writesInWindow int

	outage        bool
	overloaded    bool
	refusedHosts  map[string]bool
	watchLag      int            // newest changes that watches do not show yet
	historyLength int            // changes that watches can ask for
	requests      map[string]int // by path
	rejected      int            // transactions larger than the limits
}

// entry is the value of a key.
type entry struct {
	value    json.RawMessage
	revision uint64 // of its last change
	lease    uint64 // 0: none
}

type lease struct {
	life  time.Duration
	timer *time.Timer // ends it
}

// StoreLimits is what the state service takes: bytes in a value, writes in a transaction and
// in a second.
type StoreLimits struct {
	ValueBytes, TxnOps, WritesPerSecond int
}

// NewKVStore makes an empty store with the protocol's usual limits, and many writes a second.
func NewKVStore() *KVStore {
	return &KVStore{
		keys: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		limits:       StoreLimits{ValueBytes: 32 << 10, TxnOps: 12, WritesPerSecond: 1000},
		refusedHosts: map[string]bool{}, requests: map[string]int{}, historyLength: 10000,
	}
}

// Value returns a key's value, nil if there is no such key.
func (s *KVStore) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Put sets a key, whatever its size: it is from an earlier time.
func (s *KVStore) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setKey(key, entry{value, s.revision, 0})
	s.history = append(s.history, change{Set: key, Value: value, Revision: s.revision})
	s.wakeWatches()
}

// Keys returns all keys with a prefix, in order.
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

// keysWithPrefix returns a part of the sorted keys. The lock is held.
func (s *KVStore) keysWithPrefix(prefix string) []string {
	if len(s.sortedKeys) != len(s.keys) {
		s.sortedKeys = slices.Sorted(maps.Keys(s.keys))
	}
	from, _ := slices.BinarySearch(s.sortedKeys, prefix)
	to := from
	for to < len(s.sortedKeys) && strings.HasPrefix(s.sortedKeys[to], prefix) {
		to++
	}
	return s.sortedKeys[from:to]
}

// setKey writes a key. The lock is held.
func (s *KVStore) setKey(key string, e entry) {
	if _, had := s.keys[key]; !had {
		s.sortedKeys = nil
	}
	s.keys[key] = e
}

// removeKey takes a key away. The lock is held.
func (s *KVStore) removeKey(key string) {
	s.sortedKeys = nil
	delete(s.keys, key)
}

// wakeWatches has open watches look for changes. The lock is held.
func (s *KVStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLease ends a lease that was not renewed in time; none ends in an outage.
func (s *KVStore) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.leases[id] == nil {
		return
	}
	s.endLease(id)
}

// endLease removes a lease and the keys tied to it. The lock is held.
func (s *KVStore) endLease(id uint64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var tied []string
	for key, stored := range s.keys {
		if stored.lease == id {
			tied = append(tied, key)
		}
	}
	if len(tied) == 0 {
		return
	}
	s.revision++
	for _, key := range tied {
		s.removeKey(key)
		s.history = append(s.history, change{Remove: key, Revision: s.revision})
	}
	s.wakeWatches()
}
