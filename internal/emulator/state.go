package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type change struct {
	Set      string          `json:"set,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Remove   string          `json:"remove,omitempty"`
	Revision uint64          `json:"mark"`
}

type lease struct {
	life  time.Duration
	timer *time.Timer
}

// KVStore is the state service.
type KVStore struct {
	mu      sync.Mutex
	keys    map[string]entry
	ordered []string // keys in order, nil if one has come or gone since
	log     []change
	rev     uint64
	leases  map[uint64]*lease
	last    uint64
	changed chan struct{}
	down    bool
	busy    bool
	refuse  map[string]bool
	served  map[string]int
	lag     int // changes that watches do not show yet
	keep    int // changes that are kept
	limits  StoreLimits
	window  time.Time // the second in which writes are counted
	written int
}

// StoreLimits is what the state service takes.
type StoreLimits struct {
	ValueBytes, TxnOps, WritesPerSecond int // Writes a second
}

// txnBytes is the protocol's limit for a transaction.
const txnBytes = 64 << 10

// SetLimits changes what is taken from now on, without notice.
func (s *KVStore) SetLimits(l StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// RejectedTransactions returns how many transactions were larger than is taken.
func (s *KVStore) RejectedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served["rejected"]
}

// over tells whether more is written in this second than is taken.
func (s *KVStore) over(writes int) bool {
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.window, s.written = now, 0
	}
	s.written += writes
	return s.written > s.limits.WritesPerSecond
}

// NewKVStore makes an empty store.
func NewKVStore() *KVStore {
	return &KVStore{limits: StoreLimits{32 << 10, 12, 1000}, keys: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), refuse: map[string]bool{}, served: map[string]int{}, keep: 10000}
}

// SetWatchLag makes watches miss the newest changes.
func (s *KVStore) SetWatchLag(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = changes
	s.wake()
}

// SetHistoryLength sets how many changes watches can ask for.
func (s *KVStore) SetHistoryLength(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = changes
}

// RequestCount returns how many requests came under a path.
func (s *KVStore) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[path]
}

// SetOutage starts or ends an outage. Leases do not end during it, and every one
// has its full time again when it ends.
func (s *KVStore) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for id, l := range s.leases {
		l.timer.Stop()
		if !down {
			l.timer = time.AfterFunc(l.life, func() { s.expire(id) })
		}
	}
	s.wake()
}

// SetOverloaded answers every request 429.
func (s *KVStore) SetOverloaded(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = on
}

// SetRefused answers one host 503, while the others are served.
func (s *KVStore) SetRefused(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[host] = on
}

// Value returns a key's value.
func (s *KVStore) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Put sets a key, whatever its size: it is from an earlier time.
func (s *KVStore) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, entry{value, s.rev, 0})
	s.log = append(s.log, change{Set: key, Value: value, Revision: s.rev})
	s.wake()
}

// Keys returns all keys with a prefix.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sorted(prefix))
}

func (s *KVStore) sorted(prefix string) []string {
	if len(s.ordered) != len(s.keys) {
		s.ordered = slices.Sorted(maps.Keys(s.keys))
	}
	from, _ := slices.BinarySearch(s.ordered, prefix)
	to := from
	for to < len(s.ordered) && strings.HasPrefix(s.ordered[to], prefix) {
		to++
	}
	return s.ordered[from:to]
}

// set writes a key. The lock is held.
func (s *KVStore) set(key string, e entry) {
	if _, had := s.keys[key]; !had {
		s.ordered = nil
	}
	s.keys[key] = e
}

// remove takes a key away. The lock is held.
func (s *KVStore) remove(key string) {
	s.ordered = nil
	delete(s.keys, key)
}

func (s *KVStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *KVStore) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.leases[id] == nil {
		return
	}
	s.end(id)
}

func (s *KVStore) end(id uint64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.lease == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.rev++
	for _, k := range gone {
		s.remove(k)
		s.log = append(s.log, change{Remove: k, Revision: s.rev})
	}
	s.wake()
}

func send(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP implements the service's protocol.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.served[r.URL.Path]++
	s.mu.Unlock()
	if r.URL.Path == "/watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refuse[r.RemoteAddr] {
		send(w, http.StatusServiceUnavailable, nil)
		return
	}
	if s.busy {
		send(w, http.StatusTooManyRequests, nil)
		return
	}
	switch path := r.URL.Path; {
	case path == "/keys":
		s.list(w, r)
	case strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		e, ok := s.keys[key]
		if !ok {
			send(w, http.StatusNotFound, map[string]uint64{"tide": s.rev})
			return
		}
		send(w, http.StatusOK, map[string]any{"k": key, "value": e.value, "mark": e.revision})
	case path == "/commit":
		s.commit(w, r)
	case path == "/grants":
		var in struct {
			LifeMs int64 `json:"lifeMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.last++
		id, life := s.last, time.Duration(in.LifeMs)*time.Millisecond
		s.leases[id] = &lease{life, time.AfterFunc(life, func() { s.expire(id) })}
		send(w, http.StatusOK, map[string]uint64{"tether": id})
	case strings.HasPrefix(path, "/grants/"):
		s.lease(w, r, strings.TrimPrefix(path, "/grants/"))
	default:
		send(w, http.StatusBadRequest, nil)
	}
}

func (s *KVStore) lease(w http.ResponseWriter, r *http.Request, rest string) {
	num, renew := strings.CutSuffix(rest, "/renew")
	id, _ := strconv.ParseUint(num, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		send(w, http.StatusNotFound, nil)
		return
	case renew:
		l.timer.Reset(l.life)
	case r.Method == http.MethodDelete:
		s.end(id)
	}
	send(w, http.StatusOK, nil)
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	pairs, more := []map[string]any{}, false
	keys := s.sorted(q.Get("prefix"))
	from, found := slices.BinarySearch(keys, q.Get("after"))
	if found {
		from++
	}
	for _, k := range keys[from:] {
		if len(pairs) == most {
			more = true
			break
		}
		pairs = append(pairs, map[string]any{"k": k, "value": s.keys[k].value, "mark": s.keys[k].revision})
	}
	send(w, http.StatusOK, map[string]any{"pairs": pairs, "hasNext": more, "tide": s.rev})
}

func (s *KVStore) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Guards []struct {
			Key      string `json:"k"`
			Revision uint64 `json:"mark"`
		} `json:"guards"`
		Writes []struct {
			Set    string          `json:"set"`
			Value  json.RawMessage `json:"value"`
			Lease  uint64          `json:"tether"`
			Remove string          `json:"remove"`
		} `json:"writes"`
	}
	raw, _ := io.ReadAll(r.Body)
	err := json.Unmarshal(raw, &in)
	bad := err != nil || len(raw) > txnBytes || len(in.Writes) > s.limits.TxnOps || len(in.Guards) > 4*s.limits.TxnOps
	for _, p := range in.Writes {
		bad = bad || len(p.Value) > s.limits.ValueBytes
	}
	if bad {
		s.served["rejected"]++
		send(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	if s.over(len(in.Writes)) {
		send(w, http.StatusTooManyRequests, nil)
		return
	}
	var failed []string
	for _, g := range in.Guards {
		if s.keys[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		send(w, http.StatusConflict, map[string]any{"failed": failed, "tide": s.rev})
		return
	}
	for _, p := range in.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			send(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	if len(in.Writes) > 0 {
		s.rev++
	}
	for _, p := range in.Writes {
		if p.Set != "" {
			s.set(p.Set, entry{p.Value, s.rev, p.Lease})
			s.log = append(s.log, change{Set: p.Set, Value: p.Value, Revision: s.rev})
		} else if _, ok := s.keys[p.Remove]; ok {
			s.remove(p.Remove)
			s.log = append(s.log, change{Remove: p.Remove, Revision: s.rev})
		}
	}
	s.wake()
	send(w, http.StatusOK, map[string]uint64{"tide": s.rev})
}

// watch answers with changes. In an outage new watches are refused, and open ones
// wait; what they say when their time runs out is as old as the outage.
func (s *KVStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	refused := s.down || s.refuse[r.RemoteAddr]
	compacted := len(s.log) > s.keep && after < s.log[len(s.log)-s.keep].Revision-1
	s.mu.Unlock()
	switch {
	case refused:
		send(w, http.StatusServiceUnavailable, nil)
		return
	case compacted:
		send(w, http.StatusGone, nil)
		return
	}
	timeout := wait == 0
	for {
		s.mu.Lock()
		out, rev := []change{}, after
		cut := max(0, len(s.log)-s.lag)
		for cut > 0 && cut < len(s.log) && s.log[cut-1].Revision == s.log[cut].Revision {
			cut-- // a transaction is shown whole or not at all
		}
		if shown := s.log[:cut]; !s.down && !s.refuse[r.RemoteAddr] {
			for _, c := range shown {
				if c.Revision > after && strings.HasPrefix(c.Set+c.Remove, q.Get("prefix")) {
					out = append(out, c)
				}
				rev = max(rev, c.Revision)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 || timeout {
			send(w, http.StatusOK, map[string]any{"tide": rev, "log": out})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timeout = true
		}
	}
}
