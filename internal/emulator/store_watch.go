package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// watch is a long-polling request for changes.
type watch struct {
	host   string // name of the requesting host
	prefix string // only changes of keys with this prefix are returned
	after  uint64 // only changes after this revision are returned
	wait   time.Duration
}

// serveWatch responds as soon as there are changes, or without changes when the wait time of the
// watch has elapsed. During an outage it refuses new watches; open ones see no changes, and on
// timeout they return the revision that they asked from.
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
		changes, revision, changed := s.changesFor(request)
		if len(changes) > 0 || timedOut {
			writeJSON(w, http.StatusOK, watchResponse{Revision: revision, Changes: changes})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		}
	}
}

// checkWatch reports whether a new watch is refused, and whether it asks for compacted changes.
func (s *KVStore) checkWatch(request watch) (refused, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = s.outage || s.refusedHosts[request.host]
	compacted = len(s.history) > s.historyLength && request.after < s.history[len(s.history)-s.historyLength].Revision-1
	return refused, compacted
}

// changesFor returns the changes that are visible to a watch, the revision that they lead to, and
// a channel that is closed when there may be more changes.
func (s *KVStore) changesFor(request watch) (matches []change, revision uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matches, revision = []change{}, request.after
	if s.outage || s.refusedHosts[request.host] {
		return matches, revision, s.changed
	}
	for _, entry := range s.visibleHistory() {
		if entry.Revision > request.after && strings.HasPrefix(entry.Set+entry.Remove, request.prefix) {
			matches = append(matches, entry)
		}
		revision = max(revision, entry.Revision)
	}
	return matches, revision, s.changed
}

// visibleHistory returns the changes that are visible to watches, which excludes the newest ones
// if watches lag. The changes of one transaction become visible together. s.mu must be held.
func (s *KVStore) visibleHistory() []change {
	end := max(0, len(s.history)-s.watchLag)
	for end > 0 && end < len(s.history) && s.history[end-1].Revision == s.history[end].Revision {
		end--
	}
	return s.history[:end]
}
