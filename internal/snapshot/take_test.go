package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// withStore runs a scenario against an emulated store on a simulated clock.
func withStore(t *testing.T, scenario func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		scenario(t.Context(), store, kvstore.New("state:1", world.Transport("tool"), time.Second, kvstore.RateLimits{RequestsPerSecond: 1000, WritesPerSecond: 1000}))
		world.Wait()
	})
}

func record(state string, tasks int) json.RawMessage {
	raw, _ := json.Marshal(jobs.Record{State: state, Tasks: tasks})
	return raw
}

// writingStore calls write during a listing and before each read of the revision, to emulate
// concurrent writers.
type writingStore struct {
	Store
	write func()
}

func (w writingStore) ForEachPaced(ctx context.Context, prefix string, pause time.Duration, take func(kvstore.KeyValue)) (uint64, error) {
	n := 0
	return w.Store.ForEachPaced(ctx, prefix, pause, func(p kvstore.KeyValue) {
		if n++; n%7 == 0 {
			w.write()
		}
		take(p)
	})
}

func (w writingStore) Revision(ctx context.Context) (uint64, error) {
	w.write()
	return w.Store.Revision(ctx)
}

// A copy made during concurrent writes must equal the store's contents at a single revision, as
// recorded after each change. A store whose watch lags is reported as an error.
func TestCopyIsOfOneRevision(t *testing.T) {
	for seed := range uint64(8) {
		withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
			random := rand.New(rand.NewPCG(seed, 1))
			truth := map[uint64]emulator.StoreBackup{}
			write := func() {
				if key := fmt.Sprintf("job/j-%04d", random.IntN(3000)); random.IntN(9) == 0 {
					store.LoseKeys(false, emulator.WithKey(key))
				} else {
					store.Put(key, record(jobs.Queued, random.IntN(9)))
				}
				truth[store.Revision()] = store.Backup()
			}
			for range 2500 {
				store.Put(fmt.Sprintf("job/j-%04d", random.IntN(3000)), record(jobs.Done, 2))
			}
			write()
			if seed%4 == 3 {
				store.SetWatchLag(3)
			}
			taken, err := Take(ctx, writingStore{client, write}, "c", time.Now())
			if seed%4 == 3 {
				if !errors.Is(err, ErrChangesLag) {
					t.Errorf("seed %d: got %v for a watch that never catches up", seed, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			requireCopyOf(t, seed, taken, truth)
		})
	}
}

// requireCopyOf compares a copy with the store's contents at the revision of the copy.
func requireCopyOf(t *testing.T, seed uint64, taken *Snapshot, truth map[uint64]emulator.StoreBackup) {
	t.Helper()
	there, known := truth[taken.Manifest.Revision]
	if !known {
		t.Fatalf("seed %d: copy has revision %d, which the store never had", seed, taken.Manifest.Revision)
	}
	got := map[string]string{}
	for _, record := range taken.Records {
		got[record.Key] = fmt.Sprintf("%d %s", record.Revision, record.Value)
	}
	if diff := cmp.Diff(there.Values(), got); diff != "" {
		t.Fatalf("seed %d: copy at revision %d (-want +got): %s", seed, taken.Manifest.Revision, diff)
	}
}

// If changes since the listing were compacted, the copy starts over. If the store does not answer,
// it fails.
func TestCopyBeginsAnew(t *testing.T) {
	withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
		for i := range 20 {
			store.Put(fmt.Sprintf("job/j-%d", i), record(jobs.Queued, 1))
		}
		store.SetHistoryLength(2)
		busy := 0
		source := writingStore{client, func() {
			if busy++; busy < 6 { // a later listing is not disturbed, so that the copy succeeds
				for i := range 5 {
					store.Put(fmt.Sprintf("job/j-%d", i), record(jobs.Queued, 2))
				}
			}
		}}
		taken, err := Take(ctx, source, "c", time.Now())
		if err != nil || taken.Manifest.Records != 20 || busy < 4 {
			t.Errorf("%d calls of write, error %v", busy, err)
		}
		store.SetOutage(true)
		if _, err := Take(ctx, client, "c", time.Now()); err == nil {
			t.Error("a copy was made during an outage")
		}
	})
}
