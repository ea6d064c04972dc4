package election

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"ospreyslip/internal/recovery/detection"
)

const (
	keyPrefix = "term/"
	// HolderKey is the key whose holder leads. It guards every write of a leader: its revision
	// stays the same for the whole term.
	HolderKey = "term/holder"
	// TokenKey holds the highest fencing token ever issued. It outlives the lease.
	TokenKey = "term/token"
)

// holderRecord is the value of HolderKey.
type holderRecord struct {
	Node         string `json:"node"`
	Incarnation  string `json:"life"`
	FencingToken uint64 `json:"token"`
	// Lease is the one that the key is tied to; 0 if an earlier version wrote it.
	Lease uint64 `json:"lease,omitempty"`
}

// Term is one time of leadership.
type Term struct {
	FencingToken   uint64 // with which it began
	HolderRevision uint64 // revision of HolderKey
	TokenRevision  uint64 // revision of TokenKey when it began
	Since          time.Time
}

// storedElection is what the store has of the election.
type storedElection struct {
	holder         *holderRecord // nil: nobody
	holderRevision uint64        // of HolderKey; 0: it does not exist
	highestToken   uint64        // ever issued
	tokenRevision  uint64        // of TokenKey; 0: it does not exist, as nobody ever led
	revision       uint64        // of the store, as of which all this was read
}

// heldBy tells whether a node holds the key, in whichever incarnation.
func (s *storedElection) heldBy(node string) bool { return s.holder != nil && s.holder.Node == node }

// readStored reads the keys of the election. It reports a loss if the revision is below one that
// was read before: then the store was rolled back to an earlier state.
func (e *Elector) readStored(ctx context.Context) (storedElection, error) {
	asked := e.newestRevision.Baseline()
	keyValues, revision, err := e.store.List(ctx, keyPrefix)
	if err != nil {
		return storedElection{}, err
	}
	if loss, back := e.newestRevision.Observe(asked, detection.RevisionBack, keyPrefix, revision); back {
		e.ReportLoss(loss)
	}
	stored := storedElection{revision: revision}
	for _, keyValue := range keyValues {
		var into any
		switch keyValue.Key {
		case HolderKey:
			stored.holder, stored.holderRevision = new(holderRecord), keyValue.Revision
			into = stored.holder
		case TokenKey:
			stored.tokenRevision = keyValue.Revision
			into = &stored.highestToken
		default:
			continue
		}
		if err := json.Unmarshal(keyValue.Value, into); err != nil {
			return storedElection{}, fmt.Errorf("%s: %w", keyValue.Key, err)
		}
	}
	return stored, nil
}
