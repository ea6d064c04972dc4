package emulator

import (
	"io"
	"net/http"
	"time"

	"ospreyslip/internal/wirejson"
)

// Limits of the protocol: the bytes in a transaction, and its guards per allowed write.
const (
	maxTxnBytes = 64 << 10
	guardsPerOp = 4
)

// serveCommit executes a guarded transaction. s.mu must be held.
func (s *KVStore) serveCommit(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var txn commitRequest
	if err := wirejson.Unmarshal(raw, &txn); err != nil || len(raw) > maxTxnBytes || !s.withinLimits(txn) {
		s.rejectedTransactions++
		writeJSON(w, http.StatusBadRequest, errorResponse{"malformed"})
		return
	}
	if s.exceedsWriteRate(len(txn.Writes)) {
		writeJSON(w, http.StatusTooManyRequests, nil)
		return
	}
	if failed := s.failedGuards(txn.Guards); len(failed) > 0 {
		writeJSON(w, http.StatusConflict, conflictResponse{Failed: failed, Revision: s.revision})
		return
	}
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{"no such lease"})
			return
		}
	}
	s.apply(txn.Writes)
	writeJSON(w, http.StatusOK, revisionResponse{s.revision})
}

// withinLimits reports whether a transaction respects the limits on values, writes and guards.
func (s *KVStore) withinLimits(txn commitRequest) bool {
	for _, write := range txn.Writes {
		if len(write.Value) > s.limits.ValueBytes {
			return false
		}
	}
	return len(txn.Writes) <= s.limits.TxnOps && len(txn.Guards) <= guardsPerOp*s.limits.TxnOps
}

// exceedsWriteRate counts writes and reports whether those in the current second exceed the
// limit.
func (s *KVStore) exceedsWriteRate(writes int) bool {
	if now := time.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.writesInWindow = now, 0
	}
	s.writesInWindow += writes
	return s.writesInWindow > s.limits.WritesPerSecond
}

// failedGuards returns the keys whose revision differs from the one that their guard requires.
func (s *KVStore) failedGuards(guards []commitGuard) (failed []string) {
	for _, guard := range guards {
		if s.keys[guard.Key].revision != guard.Revision {
			failed = append(failed, guard.Key)
		}
	}
	return failed
}

// apply executes all writes of a transaction at one new revision.
func (s *KVStore) apply(writes []commitWrite) {
	if len(writes) > 0 {
		s.revision++
	}
	for _, write := range writes {
		if write.Set != "" {
			s.setKey(write.Set, entry{value: write.Value, revision: s.revision, lease: write.Lease})
			s.history = append(s.history, change{Set: write.Set, Value: write.Value, Revision: s.revision})
		} else if _, ok := s.keys[write.Remove]; ok {
			s.removeKey(write.Remove)
			s.history = append(s.history, change{Remove: write.Remove, Revision: s.revision})
		}
	}
	s.wakeWatches()
}
