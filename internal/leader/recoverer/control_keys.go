package recoverer

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// controlPrefix holds what leaders leave for each other about lost records.
const controlPrefix = "recovery/"

// logSizeKey tells how many segments the assignment log had when last looked at. It never
// gets smaller: fewer segments mean that some were lost. Each leader keeps it, at the cost
// of a change whenever the log has grown.
const logSizeKey = "recovery/log"

// recoveryStatus is what a leader leaves for the next one, and for nodes that start, while
// it compares and writes back.
type recoveryStatus struct {
	Token   uint64 `json:"token"`
	SinceMs int64  `json:"sinceMs"`
	Log     bool   `json:"log"` // the assignment log may lack tasks
}

// controlKeys keeps the recovery's own keys in the key-value store.
type controlKeys struct {
	cfg     *Config
	commits *committer

	statusWritten    bool // the status key is there, and is up to date
	statusRemovalDue bool
	logSize          int       // segments, by the key that says how many there are
	logSizeWrittenAt time.Time // when that key was last written
}

// writeStatus leaves word that records are being compared, before anything else is done.
func (k *controlKeys) writeStatus(ctx context.Context, now time.Time, logIncomplete bool) {
	if k.statusWritten || !k.commits.mayBegin(now) {
		return
	}
	value, _ := json.Marshal(recoveryStatus{Token: k.cfg.Leader.Tokens().OfTerm, SinceMs: now.UnixMilli(), Log: logIncomplete})
	k.commitStatus(ctx, kvstore.Write{Set: jobs.RecoveryStatusKey, Value: value}, true)
}

// removeStatus removes the status when a recovery has ended and what it adopted is durable.
func (k *controlKeys) removeStatus(ctx context.Context, now time.Time, adopting bool) {
	if !k.statusRemovalDue || adopting || k.cfg.AssignmentLog().HasWork() || !k.commits.mayBegin(now) {
		return
	}
	k.commitStatus(ctx, kvstore.Write{Remove: jobs.RecoveryStatusKey}, false)
}

func (k *controlKeys) commitStatus(ctx context.Context, write kvstore.Write, present bool) {
	k.commits.commitKey(ctx, write, func() {
		k.statusWritten = present
		k.statusRemovalDue = k.statusRemovalDue && present
	})
}

// writeLogSize keeps the key that says how many segments there are. A lease is long enough
// between two writes: the log grows seldom.
func (k *controlKeys) writeLogSize(ctx context.Context, now time.Time) {
	if k.commits.inFlight || now.Sub(k.logSizeWrittenAt) < k.cfg.Derived.Workers.Lease || !k.cfg.Valid() {
		return
	}
	written := k.cfg.AssignmentLog().WrittenSegments()
	if written <= k.logSize {
		return
	}
	k.logSizeWrittenAt = now
	value, _ := json.Marshal(written)
	k.commits.commitKey(ctx, kvstore.Write{Set: logSizeKey, Value: value}, func() { k.logSize = written })
}

// read reads what earlier leaders have left. The status is nil if none of them was at it.
func (k *controlKeys) read(ctx context.Context) (earlier *recoveryStatus, err error) {
	pairs, _, err := k.cfg.Store.List(ctx, controlPrefix)
	if err != nil {
		return nil, err
	}
	for _, pair := range pairs {
		switch pair.Key {
		case jobs.RecoveryStatusKey:
			earlier = &recoveryStatus{}
			if err := json.Unmarshal(pair.Value, earlier); err != nil {
				slog.Error("recovery status unreadable", "reason", err)
				earlier.Log = true
			}
		case logSizeKey:
			if err := json.Unmarshal(pair.Value, &k.logSize); err != nil {
				slog.Error("size of the assignment log unreadable", "reason", err)
			}
		}
	}
	return earlier, nil
}
