package election

import (
	"context"
	"fmt"
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/wirejson"
)

const (
	keyPrefix = "term/"
	// HolderKey is the key whose holder is the leader. Every write of a leader is guarded by its
	// revision, which stays the same for the whole term.
	HolderKey = "term/holder"
	// TokenKey holds the highest fencing token ever issued. It is not tied to a lease.
	TokenKey = "term/token"
)

// holderRecord is the value of HolderKey.
type holderRecord struct {
	Controller   string `json:"node"`
	Incarnation  string `json:"life"`
	FencingToken uint64 `json:"token"`
	// Lease is the lease that the key is tied to; 0 in records of earlier versions.
	Lease uint64 `json:"lease,omitempty"`
}

// Term identifies a term that this controller has won.
type Term struct {
	FencingToken   uint64 // the token with which the term started
	HolderRevision uint64 // revision of HolderKey
	TokenRevision  uint64 // revision of TokenKey when the term started
	Since          time.Time
}

// storedElection is the state of the election in the store.
type storedElection struct {
	holder         *holderRecord // nil if no controller holds the key
	holderRevision uint64        // of HolderKey; 0 if the key is missing
	highestToken   uint64        // highest fencing token ever issued
	tokenRevision  uint64        // of TokenKey; 0 if the key is missing, as before the first term
	revision       uint64        // revision of the store as of which the keys were read
}

// heldBy reports whether any incarnation of the controller holds the key.
func (s *storedElection) heldBy(controller string) bool {
	return s.holder != nil && s.holder.Controller == controller
}

// readElection reads the election keys. It reports a loss if the store's revision is lower than one
// read before, because the store was then rolled back to an earlier state.
func (e *Elector) readElection(ctx context.Context) (storedElection, error) {
	baseline := e.newestRevision.Baseline()
	keyValues, revision, err := e.store.List(ctx, keyPrefix)
	if err != nil {
		return storedElection{}, err
	}
	if loss, rolledBack := e.newestRevision.Observe(baseline, detection.RevisionRolledBack, keyPrefix, revision); rolledBack {
		e.ReportLoss(loss)
	}
	stored := storedElection{revision: revision}
	for _, keyValue := range keyValues {
		var target any
		switch keyValue.Key {
		case HolderKey:
			stored.holder, stored.holderRevision = new(holderRecord), keyValue.Revision
			target = stored.holder
		case TokenKey:
			stored.tokenRevision = keyValue.Revision
			target = &stored.highestToken
		default:
			continue
		}
		if err := wirejson.Unmarshal(keyValue.Value, target); err != nil {
			return storedElection{}, fmt.Errorf("%s: %w", keyValue.Key, err)
		}
	}
	return stored, nil
}
