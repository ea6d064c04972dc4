package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ospreyslip/internal/wirejson"
)

// The request handlers in this file, other than ServeHTTP, expect s.mu to be held.

// ServeHTTP implements http.Handler with the protocol of the key-value store.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests[r.URL.Path]++
	s.mu.Unlock()
	if r.URL.Path == "/watch" {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refusedHosts[r.RemoteAddr] {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	if s.overloaded {
		writeJSON(w, http.StatusTooManyRequests, nil)
		return
	}
	switch path := r.URL.Path; {
	case path == "/keys":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/keys/"):
		s.serveKey(w, strings.TrimPrefix(path, "/keys/"))
	case path == "/commit":
		s.serveCommit(w, r)
	case path == "/grants":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/grants/"):
		s.serveLease(w, r, strings.TrimPrefix(path, "/grants/"))
	default:
		writeJSON(w, http.StatusBadRequest, nil)
	}
}

func (s *KVStore) serveKey(w http.ResponseWriter, key string) {
	e, ok := s.keys[key]
	if !ok {
		writeJSON(w, http.StatusNotFound, revisionResponse{s.revision})
		return
	}
	writeJSON(w, http.StatusOK, pairResponse{Key: key, Value: e.value, Revision: e.revision})
}

func (s *KVStore) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("most"))
	keys := s.keysWithPrefix(query.Get("prefix"))
	first, found := slices.BinarySearch(keys, query.Get("after"))
	if found {
		first++
	}
	page := pairPage{Pairs: []pairResponse{}, Revision: s.revision}
	for _, key := range keys[first:] {
		if len(page.Pairs) == limit {
			page.HasNext = true
			break
		}
		page.Pairs = append(page.Pairs, pairResponse{Key: key, Value: s.keys[key].value, Revision: s.keys[key].revision})
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *KVStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	_ = wirejson.UnmarshalFirst(r.Body, &request)
	s.lastLease++
	id, duration := s.lastLease, time.Duration(request.LifeMs)*time.Millisecond
	s.leases[id] = &lease{duration, time.AfterFunc(duration, func() { s.expireLease(id) })}
	writeJSON(w, http.StatusOK, leaseResponse{id})
}

// serveLease renews or revokes a lease. path is the part of the request path after /grants/.
func (s *KVStore) serveLease(w http.ResponseWriter, r *http.Request, path string) {
	leaseID, isRenewal := strings.CutSuffix(path, "/renew")
	id, _ := strconv.ParseUint(leaseID, 10, 64)
	granted := s.leases[id]
	switch {
	case granted == nil:
		writeJSON(w, http.StatusNotFound, nil)
		return
	case isRenewal:
		granted.timer.Reset(granted.duration)
	case r.Method == http.MethodDelete:
		s.removeLease(id)
	}
	writeJSON(w, http.StatusOK, nil)
}

// writeJSON writes a response with the given status and body encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
