package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// watch is a request for changes.
type watch struct {
	host   string // who asks
	prefix string // of keys
	after  uint64 // revision
	wait   time.Duration
}

// serveWatch answers with changes. In an outage new watches are refused, and open ones
// wait; what they say when their time runs out is as old as the outage.
func (s *KVStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	request := watch{host: r.RemoteAddr, prefix: query.Get("prefix"), after: after, wait: time.Duration(waitMs) * time.Millisecond}
	deadline := time.After(request.wait)
	switch refused, compacted := s.checkWatch(request); {
	case refused:
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	case compacted:
		writeJSON(w, http.StatusGone, nil)
		return
	}
	timedOut := waitMs == 0
	for {
		found, revision, changed := s.changesFor(request)
		if len(found) > 0 || timedOut {
			writeJSON(w, http.StatusOK, watchResponse{Revision: revision, Changes: found})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		}
	}
}

// checkWatch tells whether a new watch is refused, or asks for changes no longer kept.
func (s *KVStore) checkWatch(request watch) (refused, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = s.outage || s.refusedHosts[request.host]
	compacted = len(s.history) > s.historyLength && request.after < s.history[len(s.history)-s.historyLength].Revision-1
	return refused, compacted
}

// changesFor returns the changes that a watch is shown by now, the revision up to which it
// is, and a channel that is closed when there may be more.
func (s *KVStore) changesFor(request watch) (found []change, revision uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, revision = []change{}, request.after
	if s.outage || s.refusedHosts[request.host] {
		return found, revision, s.changed
	}
	for _, entry := range s.shownHistory() {
		if entry.Revision > request.after && strings.HasPrefix(entry.Set+entry.Remove, request.prefix) {
			found = append(found, entry)
		}
		revision = max(revision, entry.Revision)
	}
	return found, revision, s.changed
}

// shownHistory returns the changes that watches show: without the newest ones, if they lag.
// A transaction is shown whole or not at all.
func (s *KVStore) shownHistory() []change {
	end := max(0, len(s.history)-s.watchLag)
	for end > 0 && end < len(s.history) && s.history[end-1].Revision == s.history[end].Revision {
		end--
	}
	return s.history[:end]
}
