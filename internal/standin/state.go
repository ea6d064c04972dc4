package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type entry struct {
	value json.RawMessage
	mark  uint64
	lease uint64
}

type change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Mark   uint64          `json:"mark"`
}

type lease struct {
	life  time.Duration
	timer *time.Timer
}

// State is the state service.
type State struct {
	TxnOps int

	mu      sync.Mutex
	keys    map[string]entry
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
}

// NewState makes an empty store.
func NewState() *State {
	return &State{TxnOps: 12, keys: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), refuse: map[string]bool{}, served: map[string]int{}, keep: 10000}
}

// Lag makes watches miss the newest changes.
func (s *State) Lag(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = changes
	s.wake()
}

// Keep sets how many changes watches can ask for.
func (s *State) Keep(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = changes
}

// Requests returns how many requests came under a path.
func (s *State) Requests(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[path]
}

// Down starts or ends an outage. Leases do not end during it, and every one
// has its full time again when it ends.
func (s *State) Down(down bool) {
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

// Busy answers every request 429.
func (s *State) Busy(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = on
}

// RefuseFrom answers one host 503, while the others are served.
func (s *State) RefuseFrom(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[host] = on
}

// Value returns a key's value.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// Keys returns all keys with a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(prefix)
}

func (s *State) sorted(prefix string) []string {
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.leases[id] == nil {
		return
	}
	s.end(id)
}

func (s *State) end(id uint64) {
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
		delete(s.keys, k)
		s.log = append(s.log, change{Remove: k, Mark: s.rev})
	}
	s.wake()
}

func send(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP implements the service's protocol.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		send(w, http.StatusOK, map[string]any{"k": key, "value": e.value, "mark": e.mark})
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

func (s *State) lease(w http.ResponseWriter, r *http.Request, rest string) {
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

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	pairs, more := []map[string]any{}, false
	for _, k := range s.sorted(q.Get("prefix")) {
		if k <= q.Get("after") {
			continue
		}
		if len(pairs) == most {
			more = true
			break
		}
		pairs = append(pairs, map[string]any{"k": k, "value": s.keys[k].value, "mark": s.keys[k].mark})
	}
	send(w, http.StatusOK, map[string]any{"pairs": pairs, "hasNext": more, "tide": s.rev})
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Guards []struct {
			Key  string `json:"k"`
			Mark uint64 `json:"mark"`
		} `json:"guards"`
		Writes []struct {
			Set    string          `json:"set"`
			Value  json.RawMessage `json:"value"`
			Lease  uint64          `json:"tether"`
			Remove string          `json:"remove"`
		} `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Writes) > s.TxnOps || len(in.Guards) > 4*s.TxnOps {
		send(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	var failed []string
	for _, g := range in.Guards {
		if s.keys[g.Key].mark != g.Mark {
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
			s.keys[p.Set] = entry{p.Value, s.rev, p.Lease}
			s.log = append(s.log, change{Set: p.Set, Value: p.Value, Mark: s.rev})
		} else if _, ok := s.keys[p.Remove]; ok {
			delete(s.keys, p.Remove)
			s.log = append(s.log, change{Remove: p.Remove, Mark: s.rev})
		}
	}
	s.wake()
	send(w, http.StatusOK, map[string]uint64{"tide": s.rev})
}

// watch answers with changes. In an outage new watches are refused, and open ones
// wait; what they say when their time runs out is as old as the outage.
func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	refused := s.down || s.refuse[r.RemoteAddr]
	compacted := len(s.log) > s.keep && after < s.log[len(s.log)-s.keep].Mark-1
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
		if shown := s.log[:max(0, len(s.log)-s.lag)]; !s.down && !s.refuse[r.RemoteAddr] {
			for _, c := range shown {
				if c.Mark > after && strings.HasPrefix(c.Set+c.Remove, q.Get("prefix")) {
					out = append(out, c)
				}
				rev = max(rev, c.Mark)
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
