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
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		scenario(t.Context(), store, kvstore.New("state:1", network.Transport("tool"), time.Second, kvstore.RateLimits{RequestsPerSecond: 1000, WritesPerSecond: 1000}))
		network.Wait()
	})
}

func jobRecordJSON(state string, tasks int) json.RawMessage {
	raw, _ := json.Marshal(jobs.Record{State: state, Tasks: tasks})
	return raw
}

// concurrentWriteStore calls write during a listing and before each read of the revision, to emulate
// concurrent writers.
type concurrentWriteStore struct {
	Store
	write func()
}

func (w concurrentWriteStore) ForEachPaced(ctx context.Context, prefix string, pause time.Duration, visit func(kvstore.KeyValue)) (uint64, error) {
	n := 0
	return w.Store.ForEachPaced(ctx, prefix, pause, func(p kvstore.KeyValue) {
		if n++; n%7 == 0 {
			w.write()
		}
		visit(p)
	})
}

func (w concurrentWriteStore) Revision(ctx context.Context) (uint64, error) {
	w.write()
	return w.Store.Revision(ctx)
}

// A copy made during concurrent writes must equal the store's contents at a single revision, as
// recorded after each change. A store whose watch lags is reported as an error.
func TestSnapshotIsConsistent(t *testing.T) {
	for seed := range uint64(8) {
		withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
			random := rand.New(rand.NewPCG(seed, 1))
			backups := map[uint64]emulator.StoreBackup{}
			write := func() {
				if key := fmt.Sprintf("job/j-%04d", random.IntN(3000)); random.IntN(9) == 0 {
					store.LoseKeys(false, emulator.WithKey(key))
				} else {
					store.Put(key, jobRecordJSON(jobs.Queued, random.IntN(9)))
				}
				backups[store.Revision()] = store.Backup()
			}
			for range 2500 {
				store.Put(fmt.Sprintf("job/j-%04d", random.IntN(3000)), jobRecordJSON(jobs.Done, 2))
			}
			write()
			if seed%4 == 3 {
				store.SetWatchLag(3)
			}
			taken, err := Take(ctx, concurrentWriteStore{client, write}, "c", time.Now())
			if seed%4 == 3 {
				if !errors.Is(err, ErrWatchLags) {
					t.Errorf("seed %d: got %v for a watch that never catches up", seed, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			requireConsistent(t, seed, taken, backups)
		})
	}
}

// requireConsistent compares a copy with the store's contents at the revision of the copy.
func requireConsistent(t *testing.T, seed uint64, taken *Snapshot, backups map[uint64]emulator.StoreBackup) {
	t.Helper()
	want, known := backups[taken.Manifest.Revision]
	if !known {
		t.Fatalf("seed %d: copy has revision %d, which the store never had", seed, taken.Manifest.Revision)
	}
	got := map[string]string{}
	for _, record := range taken.Records {
		got[record.Key] = fmt.Sprintf("%d %s", record.Revision, record.Value)
	}
	if diff := cmp.Diff(want.Values(), got); diff != "" {
		t.Fatalf("seed %d: copy at revision %d (-want +got): %s", seed, taken.Manifest.Revision, diff)
	}
}

// If changes since the listing were compacted, the copy starts over. During an outage of the store it
// fails.
func TestTakeRestartsAfterCompaction(t *testing.T) {
	withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
		for i := range 20 {
			store.Put(fmt.Sprintf("job/j-%d", i), jobRecordJSON(jobs.Queued, 1))
		}
		store.SetHistoryLength(2)
		writeCalls := 0
		source := concurrentWriteStore{client, func() {
			if writeCalls++; writeCalls < 6 { // a later listing is not disturbed, so that the copy succeeds
				for i := range 5 {
					store.Put(fmt.Sprintf("job/j-%d", i), jobRecordJSON(jobs.Queued, 2))
				}
			}
		}}
		taken, err := Take(ctx, source, "c", time.Now())
		if err != nil || taken.Manifest.Records != 20 || writeCalls < 4 {
			t.Errorf("%d calls of write, error %v", writeCalls, err)
		}
		store.SetOutage(true)
		if _, err := Take(ctx, client, "c", time.Now()); err == nil {
			t.Error("a copy was made during an outage")
		}
	})
}
