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
	maxCopies  = 5  // attempts, if changes were compacted or the store was rolled back
	maxWatches = 50 // watches in one attempt to reach a single revision
	watchRetry = 100 * time.Millisecond
)

// Take copies all records as of one revision. It lists them and then follows the changes until
// every key is at the same revision. It starts over, at most maxCopies times in all, if the
// changes in between were compacted or the store was rolled back. now is the wall clock time
// for the manifest.
func Take(ctx context.Context, from Store, cluster string, now time.Time) (*Snapshot, error) {
	var failed error
	for range maxCopies {
		pairs, revision, err := takeOnce(ctx, from)
		if err == nil {
			return compose(pairs, revision, cluster, now), nil
		}
		failed = err
		if !errors.Is(err, kvstore.ErrCompacted) && !errors.Is(err, errRevisionBack) {
			break
		}
	}
	return nil, fmt.Errorf("copy records: %w", failed)
}

// errRevisionBack means that the store's revision decreased during the copy.
var errRevisionBack = errors.New("state service was rolled back during the copy")

// takeOnce returns all pairs by key, and their common revision.
func takeOnce(ctx context.Context, from Store) (map[string]kvstore.KeyValue, uint64, error) {
	pairs := map[string]kvstore.KeyValue{}
	listed, err := from.ForEachPaced(ctx, "", 0, func(pair kvstore.KeyValue) { pairs[pair.Key] = pair })
	if err != nil {
		return nil, 0, err
	}
	// No page of the listing is newer than this revision.
	least, err := from.Revision(ctx)
	if err != nil {
		return nil, 0, err
	}
	if least < listed {
		return nil, 0, errRevisionBack
	}
	revision, err := follow(ctx, from, pairs, listed, least)
	return pairs, revision, err
}

// follow applies the changes after revision after to pairs, at least up to revision least, and
// returns the revision that it reached.
func follow(ctx context.Context, from Store, pairs map[string]kvstore.KeyValue, after, least uint64) (uint64, error) {
	for range maxWatches {
		if after >= least {
			return after, nil
		}
		revision, changes, err := from.Watch(ctx, "", after, 0)
		if err != nil {
			return 0, err
		}
		for _, change := range changes {
			applyChange(pairs, change)
		}
		after = max(after, revision)
		if after < least {
			if err := sleep(ctx, watchRetry); err != nil {
				return 0, err
			}
		}
	}
	return 0, ErrChangesLag
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
