package snapshot

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ospreyslip/internal/kvstore"
)

// Store is the part of the key-value store's client that Take uses. kvstore.Client implements it.
type Store interface {
	ForEachPaced(ctx context.Context, prefix string, pause time.Duration, take func(kvstore.KeyValue)) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (uint64, []kvstore.Change, error)
	Revision(ctx context.Context) (uint64, error)
}

const (
	maxAttempts          = 5  // attempts, if changes were compacted or the store was rolled back
	maxWatchesPerAttempt = 50 // watches in one attempt to reach a single revision
	watchRetryDelay      = 100 * time.Millisecond
)

// Take copies all records as of one revision. It lists them and then follows the changes until
// every key is at the same revision. It starts over, at most maxAttempts times in all, if the
// changes in between were compacted or the store was rolled back. now is the wall clock time
// for the manifest.
func Take(ctx context.Context, store Store, cluster string, now time.Time) (*Snapshot, error) {
	var lastErr error
	for range maxAttempts {
		pairs, revision, err := takeOnce(ctx, store)
		if err == nil {
			return newSnapshot(pairs, revision, cluster, now), nil
		}
		lastErr = err
		if !errors.Is(err, kvstore.ErrCompacted) && !errors.Is(err, errRolledBack) {
			break
		}
	}
	return nil, fmt.Errorf("copy records: %w", lastErr)
}

// errRolledBack means that the store's revision decreased during the copy.
var errRolledBack = errors.New("state service was rolled back during the copy")

// takeOnce returns all pairs by key, and their common revision.
func takeOnce(ctx context.Context, store Store) (map[string]kvstore.KeyValue, uint64, error) {
	pairs := map[string]kvstore.KeyValue{}
	listedRevision, err := store.ForEachPaced(ctx, "", 0, func(pair kvstore.KeyValue) { pairs[pair.Key] = pair })
	if err != nil {
		return nil, 0, err
	}
	// No page of the listing is newer than this revision.
	minRevision, err := store.Revision(ctx)
	if err != nil {
		return nil, 0, err
	}
	if minRevision < listedRevision {
		return nil, 0, errRolledBack
	}
	revision, err := followChanges(ctx, store, pairs, listedRevision, minRevision)
	return pairs, revision, err
}

// followChanges applies to pairs all changes after the revision reached, at least up to minRevision.
// It returns the revision up to which pairs is then complete.
func followChanges(ctx context.Context, store Store, pairs map[string]kvstore.KeyValue, reached, minRevision uint64) (uint64, error) {
	for range maxWatchesPerAttempt {
		if reached >= minRevision {
			return reached, nil
		}
		revision, changes, err := store.Watch(ctx, "", reached, 0)
		if err != nil {
			return 0, err
		}
		for _, change := range changes {
			applyChange(pairs, change)
		}
		reached = max(reached, revision)
		if reached < minRevision {
			if err := sleep(ctx, watchRetryDelay); err != nil {
				return 0, err
			}
		}
	}
	return 0, ErrWatchLags
}

// applyChange applies a change to pairs, unless the key was listed after that change.
func applyChange(pairs map[string]kvstore.KeyValue, change kvstore.Change) {
	if change.Remove != "" {
		if pairs[change.Remove].Revision < change.Revision {
			delete(pairs, change.Remove)
		}
		return
	}
	if pairs[change.Set].Revision < change.Revision {
		pairs[change.Set] = kvstore.KeyValue{Key: change.Set, Value: change.Value, Revision: change.Revision}
	}
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
