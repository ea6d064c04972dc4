package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

const (
	keyPrefix = "term/"
	// HolderKey guards every write of a leader: its revision stays the same
	// for the whole term.
	HolderKey = "term/holder"
	// TokenKey holds the highest token ever given out. It outlives the lease.
	TokenKey = "term/token"
)

// holderRecord is what the holder key says.
type holderRecord struct {
	Node         string `json:"node"`
	Incarnation  string `json:"life"` // one run of that node's process
	FencingToken uint64 `json:"token"`
	// Lease is the one that the key is tied to; 0 if an earlier version wrote it.
	Lease uint64 `json:"lease,omitempty"`
}

// Term is one time of leadership.
type Term struct {
	FencingToken   uint64
	HolderRevision uint64 // revision of HolderKey
	TokenRevision  uint64 // revision of TokenKey
	Since          time.Time
}

// stored is what the state service has of the term.
type stored struct {
	holder         *holderRecord // nil if nobody holds it
	holderRevision uint64
	token          uint64 // the highest ever given out
	tokenRevision  uint64 // 0 if nobody ever held it
	revision       uint64 // as of which all this was read
}

func (k *Elector) readStored(ctx context.Context) (stored, error) {
	asked := k.newestRevision.Ask()
	pairs, revision, err := k.store.List(ctx, keyPrefix)
	if err != nil {
		return stored{}, err
	}
	if e, back := k.newestRevision.See(asked, detection.RevisionBack, keyPrefix, revision); back {
		k.ReportLoss(e)
	}
	s := stored{revision: revision}
	for _, p := range pairs {
		var into any
		switch p.Key {
		case HolderKey:
			s.holder, s.holderRevision = new(holderRecord), p.Revision
			into = s.holder
		case TokenKey:
			s.tokenRevision = p.Revision
			into = &s.token
		default:
			continue
		}
		if err := json.Unmarshal(p.Value, into); err != nil {
			return stored{}, fmt.Errorf("%s: %w", p.Key, err)
		}
	}
	return s, nil
}

// awaitChange waits until something about the term changes.
func (k *Elector) awaitChange(ctx context.Context, after uint64, wait time.Duration) {
	_, changes, err := k.store.Watch(ctx, keyPrefix, after, wait)
	if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
		k.pause(ctx)
		return
	}
	k.noteContact(time.Now())
	for _, c := range changes {
		if c.Remove == HolderKey {
			k.observedHolder.Store(nil)
		}
	}
}
