package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// withStore runs a scenario against a stand-in state service.
func withStore(t *testing.T, scenario func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		scenario(t.Context(), store, kvstore.New("state:1", world.Transport("tool"), time.Second, kvstore.Budget{Requests: 1000, Writes: 1000}))
		world.Wait()
	})
}

func record(state string, tasks int) json.RawMessage {
	raw, _ := json.Marshal(jobs.Record{State: state, Tasks: tasks})
	return raw
}

// writingSource has others write between the pages of a listing and between watches.
type writingSource struct {
	Store
	write func()
}

func (w writingSource) EachPaced(ctx context.Context, prefix string, pause time.Duration, take func(kvstore.Pair)) (uint64, error) {
	n := 0
	return w.Store.EachPaced(ctx, prefix, pause, func(p kvstore.Pair) {
		if n++; n%7 == 0 {
			w.write()
		}
		take(p)
	})
}

func (w writingSource) Revision(ctx context.Context) (uint64, error) {
	w.write()
	return w.Store.Revision(ctx)
}

// Whatever others write meanwhile, a copy is what was there at one revision: the truth as
// recorded after each change.
func TestCopyIsOfOneRevision(t *testing.T) {
	for seed := range uint64(8) {
		withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
			r := rand.New(rand.NewPCG(seed, 1))
			truth := map[uint64]emulator.StoreBackup{}
			write := func() {
				if key := fmt.Sprintf("job/j-%04d", r.IntN(3000)); r.IntN(9) == 0 {
					store.LoseKeys(false, emulator.WithKey(key))
				} else {
					store.Put(key, record(jobs.Queued, r.IntN(9)))
				}
				truth[store.Revision()] = store.Backup()
			}
			for range 2500 {
				store.Put(fmt.Sprintf("job/j-%04d", r.IntN(3000)), record(jobs.Done, 2))
			}
			write()
			if seed%4 == 3 {
				store.SetWatchLag(3)
			}
			s, err := Take(ctx, writingSource{client, write}, "c", time.Now())
			if seed%4 == 3 {
				if !errors.Is(err, ErrChangesLag) {
					t.Errorf("seed %d: changes lag for ever: %v", seed, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			there, known := truth[s.Manifest.Revision]
			if !known {
				t.Fatalf("seed %d: copied as of %d, which is none of the revisions", seed, s.Manifest.Revision)
			}
			got := map[string]string{}
			for _, r := range s.Records {
				got[r.Key] = fmt.Sprintf("%d %s", r.Revision, r.Value)
			}
			if d := cmp.Diff(there.Values(), got); d != "" {
				t.Fatalf("seed %d: as of %d: %s", seed, s.Manifest.Revision, d)
			}
		})
	}
}

// If the changes since the listing are not kept, the copy begins anew; if the service does
// not answer, it fails.
func TestCopyBeginsAnew(t *testing.T) {
	withStore(t, func(ctx context.Context, store *emulator.KVStore, client *kvstore.Client) {
		for i := range 20 {
			store.Put(fmt.Sprintf("job/j-%d", i), record(jobs.Queued, 1))
		}
		store.SetHistoryLength(2)
		busy := 0
		source := writingSource{client, func() {
			if busy++; busy < 6 { // by then one listing has gone through
				for i := range 5 {
					store.Put(fmt.Sprintf("job/j-%d", i), record(jobs.Queued, 2))
				}
			}
		}}
		taken, err := Take(ctx, source, "c", time.Now())
		if err != nil || taken.Manifest.Records != 20 || busy < 4 {
			t.Errorf("%d looks, %v", busy, err)
		}
		store.SetOutage(true)
		if _, err := Take(ctx, client, "c", time.Now()); err == nil {
			t.Error("a copy was made in an outage")
		}
	})
}

func example(records int) *Snapshot {
	pairs := map[string]kvstore.Pair{"term/token": {Key: "term/token", Value: json.RawMessage("41"), Revision: 7}}
	for i := range records {
		key := fmt.Sprintf("job/j-%06d", i)
		pairs[key] = kvstore.Pair{Key: key, Value: record([]string{jobs.Queued, jobs.Done, jobs.Cancelled}[i%3], i%50+1), Revision: uint64(i + 8)}
	}
	pairs["job/j-x"] = kvstore.Pair{Key: "job/j-x", Value: json.RawMessage(`{"stance":7}`), Revision: 3}
	return compose(pairs, 9000, "abc", time.UnixMilli(1_800_000_000_000))
}

// A file reads back as it was written, and says what it is of.
func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	s := example(10_000)
	path, err := WriteFile(dir, s)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(s, got); d != "" {
		t.Error(d)
	}
	if m := got.Manifest; m.Token != 41 || m.Jobs[jobs.Done] != 3333 || m.Jobs[unreadable] != 1 || m.Records != 10_002 {
		t.Errorf("%+v", m)
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 1 {
		t.Errorf("left over: %v", entries)
	}
	empty, err := WriteFile(dir, compose(nil, 0, "abc", time.UnixMilli(1)))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ReadFile(empty); err != nil || len(got.Records) != 0 {
		t.Errorf("of nothing: %v, %v", got, err)
	}
}

// A file that was cut off, altered, is something else or from a later version is refused,
// wherever the fault is.
func TestFilesThatAreRefused(t *testing.T) {
	dir := t.TempDir()
	path, err := WriteFile(dir, example(200))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(what string, raw []byte, want error) {
		t.Helper()
		bad := filepath.Join(dir, "bad")
		if err := os.WriteFile(bad, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		switch _, err := ReadFile(bad); {
		case err == nil:
			t.Errorf("%s: taken", what)
		case want != nil && !errors.Is(err, want):
			t.Errorf("%s: %v, want %v", what, err, want)
		case strings.Contains(err.Error(), "\n"):
			t.Errorf("%s: more than a line: %v", what, err)
		}
	}
	refused("empty", nil, ErrNotSnapshot)
	refused("a text", []byte(strings.Repeat("no snapshot ", 100)), ErrNotSnapshot)
	for _, cut := range []int{1, 7, len(whole) / 2, len(whole) - 4} {
		refused(fmt.Sprintf("cut off by %d bytes", cut), whole[:len(whole)-cut], ErrNotSnapshot)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		raw := append([]byte(nil), whole...)
		at := r.IntN(len(raw))
		raw[at] ^= byte(1 + r.IntN(255))
		bad := filepath.Join(dir, "bad")
		if err := os.WriteFile(bad, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := ReadFile(bad); err == nil {
			// A byte that says nothing of what is copied, such as the name of the writer.
			if d := cmp.Diff(example(200), got); d != "" {
				t.Errorf("byte %d altered, and taken: %s", at, d)
			}
		}
	}
	later := example(5)
	later.Manifest.Format = Format + 1
	if path, err = WriteFile(dir, later); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFile(path); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("from a later version: %v", err)
	}
	lying := example(5)
	lying.Manifest.Token = 5
	if path, err = WriteFile(dir, lying); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFile(path); !errors.Is(err, ErrDamaged) {
		t.Errorf("another token in the manifest: %v", err)
	}
	if _, err := ReadFile(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// Only the oldest of this deployment go, and what earlier runs have left.
func TestPrune(t *testing.T) {
	dir := t.TempDir()
	for i := range 5 {
		taken := compose(nil, uint64(i), "abc", time.UnixMilli(int64(i)*60_000))
		if _, err := WriteFile(dir, taken); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := WriteFile(dir, compose(nil, 1, "other", time.UnixMilli(1))); err != nil {
		t.Fatal(err)
	}
	left := filepath.Join(dir, tempPrefix+"1")
	if err := os.WriteFile(left, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(left, time.Unix(1, 0), time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	removed, err := Prune(dir, "abc", 2)
	if err != nil || len(removed) != 4 {
		t.Errorf("removed %v, %v", removed, err)
	}
	entries, _ := os.ReadDir(dir)
	if len(entries) != 3 || !strings.HasPrefix(entries[0].Name(), "abc-19700101T000300") {
		t.Errorf("left %v", entries)
	}
	if removed, err := Prune(dir, "abc", 2); err != nil || len(removed) > 0 {
		t.Errorf("once more: %v, %v", removed, err)
	}
}
