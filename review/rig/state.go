package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the state service that the settings do not name.
const (
	maxTxnBytes   = 64 << 10
	guardsPerOp   = 4
	historyLength = 10000
	maxPageItems  = 1000
	maxPageBytes  = 512 << 10
)

// stateService is a stand-in for the state service, as the protocol describes it. It keeps the
// limits on values and transactions, but no rates.
type stateService struct {
	mu       sync.Mutex
	keys     map[string]stateEntry
	revision uint64
	history  []stateChange
	leases   map[uint64]*stateLease
	lastID   uint64
	changed  chan struct{} // closed and replaced at each change

	valueBytes, txnOps int
}

type stateEntry struct {
	value          json.RawMessage
	mark, leasedBy uint64
}

type stateLease struct {
	life  time.Duration
	timer *time.Timer
}

type stateChange struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Mark   uint64          `json:"mark"`
}

func newStateService(valueKB, txnOps int) *stateService {
	return &stateService{
		keys: map[string]stateEntry{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}),
		valueBytes: valueKB << 10, txnOps: txnOps,
	}
}

// lowerLimits replaces the limits of a value and of a transaction.
func (s *stateService) lowerLimits(valueKB, txnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valueBytes, s.txnOps = valueKB<<10, txnOps
}

// ServeHTTP implements http.Handler.
func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if path == "/watch" {
		s.serveWatch(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes+1))
	if err != nil || len(body) > maxTxnBytes {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == "/keys":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/keys/"):
		s.serveKey(w, strings.TrimPrefix(path, "/keys/"))
	case path == "/commit":
		s.serveCommit(w, body)
	case path == "/grants":
		s.serveGrant(w, body)
	case strings.HasPrefix(path, "/grants/"):
		s.serveLease(w, r.Method, strings.TrimPrefix(path, "/grants/"))
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (s *stateService) serveKey(w http.ResponseWriter, key string) {
	entry, found := s.keys[key]
	if !found {
		reply(w, http.StatusNotFound, map[string]uint64{"tide": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"k": key, "value": entry.value, "mark": entry.mark, "tether": entry.leasedBy})
}

func (s *stateService) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most"))
	if most <= 0 || most > maxPageItems {
		most = maxPageItems
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	pairs, bytes, hasNext := []any{}, 0, false
	for _, key := range keys {
		entry := s.keys[key]
		if bytes += len(key) + len(entry.value); len(pairs) == most || bytes > maxPageBytes*3/4 {
			hasNext = true
			break
		}
		pairs = append(pairs, map[string]any{"k": key, "value": entry.value, "mark": entry.mark})
	}
	reply(w, http.StatusOK, map[string]any{"pairs": pairs, "hasNext": hasNext, "tide": s.revision})
}

type stateTxn struct {
	Guards []struct {
		K    string `json:"k"`
		Mark uint64 `json:"mark"`
	} `json:"guards"`
	Writes []struct {
		Set    string          `json:"set"`
		Value  json.RawMessage `json:"value"`
		Tether uint64          `json:"tether"`
		Remove string          `json:"remove"`
	} `json:"writes"`
}

// withinLimits reports whether a transaction keeps the limits of the service.
func (s *stateService) withinLimits(txn *stateTxn) bool {
	for _, write := range txn.Writes {
		key := write.Set + write.Remove
		if len(write.Value) > s.valueBytes || len(key) == 0 || len(key) > 200 || strings.ContainsAny(key, " ") {
			return false
		}
	}
	return len(txn.Writes) <= s.txnOps && len(txn.Guards) <= guardsPerOp*s.txnOps
}

func (s *stateService) serveCommit(w http.ResponseWriter, body []byte) {
	var txn stateTxn
	if err := json.Unmarshal(body, &txn); err != nil || !s.withinLimits(&txn) {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	for _, write := range txn.Writes {
		if write.Tether != 0 && s.leases[write.Tether] == nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		if s.keys[guard.K].mark != guard.Mark {
			failed = append(failed, guard.K)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "tide": s.revision})
		return
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, write := range txn.Writes {
		if write.Set != "" {
			s.keys[write.Set] = stateEntry{write.Value, s.revision, write.Tether}
			s.history = append(s.history, stateChange{Set: write.Set, Value: write.Value, Mark: s.revision})
		} else if _, found := s.keys[write.Remove]; found {
			s.remove(write.Remove)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]uint64{"tide": s.revision})
}

// remove removes a key at the present revision.
func (s *stateService) remove(key string) {
	delete(s.keys, key)
	s.history = append(s.history, stateChange{Remove: key, Mark: s.revision})
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) serveGrant(w http.ResponseWriter, body []byte) {
	var request struct {
		LifeMs int `json:"lifeMs"`
	}
	if err := json.Unmarshal(body, &request); err != nil || request.LifeMs < 100 || request.LifeMs > 600_000 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.lastID++
	id, life := s.lastID, time.Duration(request.LifeMs)*time.Millisecond
	s.leases[id] = &stateLease{life, time.AfterFunc(life, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	reply(w, http.StatusOK, map[string]uint64{"tether": id})
}

func (s *stateService) serveLease(w http.ResponseWriter, method, path string) {
	digits, renews := strings.CutSuffix(path, "/renew")
	id, _ := strconv.ParseUint(digits, 10, 64)
	lease := s.leases[id]
	switch {
	case lease == nil:
		reply(w, http.StatusNotFound, nil)
		return
	case renews:
		lease.timer.Reset(lease.life)
	case method == http.MethodDelete:
		s.endLease(id)
	}
	reply(w, http.StatusOK, nil)
}

// endLease ends a lease and removes the keys that are attached to it.
func (s *stateService) endLease(id uint64) {
	lease := s.leases[id]
	if lease == nil {
		return
	}
	lease.timer.Stop()
	delete(s.leases, id)
	var attached []string
	for key, entry := range s.keys {
		if entry.leasedBy == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	s.revision++
	for _, key := range attached {
		s.remove(key)
	}
	s.wake()
}

func (s *stateService) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	if waitMs > 60_000 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := waitMs == 0; ; {
		log, revision, changed, tooOld := s.changesAfter(after, query.Get("prefix"))
		if tooOld {
			reply(w, http.StatusGone, nil)
			return
		}
		if len(log) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"tide": revision, "log": log})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stateService) changesAfter(after uint64, prefix string) (log []stateChange, revision uint64, changed <-chan struct{}, tooOld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history); n > historyLength && after < s.history[n-historyLength].Mark {
		return nil, 0, nil, true
	}
	log = []stateChange{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Mark > after })
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.Set+change.Remove, prefix) {
			log = append(log, change)
		}
	}
	return log, s.revision, s.changed, false
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("stand-in cannot encode its answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
