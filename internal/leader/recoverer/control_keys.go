package recoverer

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/wirejson"
)

// controlPrefix is the prefix of the keys in which leaders pass on the state of a recovery.
const controlPrefix = "recovery/"

// logSizeKey holds the number of segments in the assignment log. The number never decreases, so
// a log with fewer segments has lost some. Each leader maintains the key, at the cost of one write
// whenever the log has grown.
const logSizeKey = "recovery/log"

// recoveryStatus is stored while a leader recovers records. It informs the next leader, and
// controllers that start in the meantime.
type recoveryStatus struct {
	Token         uint64 `json:"token"`
	SinceMs       int64  `json:"sinceMs"`
	LogIncomplete bool   `json:"log"` // the assignment log may lack tasks that run
}

// controlKeys maintains the recovery's own keys in the key-value store.
type controlKeys struct {
	cfg       *Config
	committer *committer

	statusWritten    bool // the stored status is up to date
	statusRemovalDue bool
	logSize          int       // number of segments in the stored log size key
	logSizeWrittenAt time.Time // when the log size key was last written
}

// writeStatus stores that records are being compared. A comparison round cannot end before the
// status is durable.
func (k *controlKeys) writeStatus(ctx context.Context, now time.Time, logIncomplete bool) {
	if k.statusWritten || !k.committer.mayCommit(now) {
		return
	}
	value, _ := json.Marshal(recoveryStatus{Token: k.cfg.Leader.Tokens().TermToken, SinceMs: now.UnixMilli(), LogIncomplete: logIncomplete})
	k.commitStatus(ctx, kvstore.Write{Set: jobs.RecoveryStatusKey, Value: value}, true)
}

// removeStatus removes the status once a recovery has ended and all adopted tasks are in the log.
func (k *controlKeys) removeStatus(ctx context.Context, now time.Time, adopting bool) {
	if !k.statusRemovalDue || adopting || k.cfg.AssignmentLog().HasWork() || !k.committer.mayCommit(now) {
		return
	}
	k.commitStatus(ctx, kvstore.Write{Remove: jobs.RecoveryStatusKey}, false)
}

func (k *controlKeys) commitStatus(ctx context.Context, write kvstore.Write, present bool) {
	k.committer.commitKey(ctx, write, func() {
		k.statusWritten = present
		k.statusRemovalDue = k.statusRemovalDue && present
	})
}

// writeLogSize updates the log size key after the log has grown. It writes at most once per worker
// lease, which suffices because the log rarely grows.
func (k *controlKeys) writeLogSize(ctx context.Context, now time.Time) {
	if k.committer.inFlight || now.Sub(k.logSizeWrittenAt) < k.cfg.Derived.Workers.Lease || !k.cfg.IsLeader() {
		return
	}
	written := k.cfg.AssignmentLog().WrittenSegments()
	if written <= k.logSize {
		return
	}
	k.logSizeWrittenAt = now
	value, _ := json.Marshal(written)
	k.committer.commitKey(ctx, kvstore.Write{Set: logSizeKey, Value: value}, func() { k.logSize = written })
}

// read reads the keys that earlier leaders wrote. The status is nil if no recovery was under way.
func (k *controlKeys) read(ctx context.Context) (status *recoveryStatus, err error) {
	pairs, _, err := k.cfg.Store.List(ctx, controlPrefix)
	if err != nil {
		return nil, err
	}
	for _, pair := range pairs {
		switch pair.Key {
		case jobs.RecoveryStatusKey:
			status = &recoveryStatus{}
			if err := wirejson.Unmarshal(pair.Value, status); err != nil {
				slog.Error("failed to decode the recovery status", "reason", err)
				status.LogIncomplete = true
			}
		case logSizeKey:
			if err := wirejson.Unmarshal(pair.Value, &k.logSize); err != nil {
				slog.Error("failed to decode the size of the assignment log", "reason", err)
			}
		}
	}
	return status, nil
}
