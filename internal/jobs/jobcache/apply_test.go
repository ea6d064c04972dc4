package jobcache

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"ospreyslip/internal/jobs"
)

// After the cache has read all records, the watch brings changes once more that
// the list was ahead of. A poll that is answered meanwhile must not see them.
func TestCacheNeverTurnsBack(t *testing.T) {
	cache := New(nil, Options{CancellationsKept: 8})
	cache.Apply("job/j-1", []byte(`{"stance":"done","tasks":3}`), 105)   // from the list
	cache.Apply("job/j-1", []byte(`{"stance":"queued","tasks":3}`), 102) // from the watch, on the way to 105
	if got, _ := cache.entries.get("j-1"); got.state != jobs.Done {
		t.Errorf("done went back to %s", got.state)
	}
	cache.Apply("job/j-2", []byte(`{"stance":"queued","tasks":3}`), 103)
	cache.Apply("job/j-2", []byte(`{"stance":"aborted","tasks":3}`), 107)
	if got, _ := cache.entries.get("j-2"); got.state != jobs.Cancelled {
		t.Errorf("cancelled is shown as %s", got.state)
	}
}

// Who no longer remembers all cancellations since a revision says so.
func TestCancellationsRemembered(t *testing.T) {
	cache := New(nil, Options{CancellationsKept: 4})
	cancel := func(revision uint64) {
		cache.Apply(jobs.RecordKey(fmt.Sprintf("j-%d", revision)), []byte(`{"stance":"aborted"}`), revision)
	}
	if _, complete := cache.CancellationsAfter(0); complete {
		t.Error("complete before the records were read")
	}
	cache.Readiness.setInitialReadDone()
	for _, n := range []uint64{7, 3, 9, 5, 1, 9} { // a list is in the order of names, and what it tells comes twice
		cancel(n)
	}
	if got, complete := cache.CancellationsAfter(4); !complete || len(got) != 3 {
		t.Errorf("after 4: %v, complete %v", got, complete)
	}
	for n := uint64(11); n < 40; n += 2 {
		cancel(n)
		if len(cache.cancellations.entries) > 8 {
			t.Fatalf("%d are kept", len(cache.cancellations.entries))
		}
	}
	if _, complete := cache.CancellationsAfter(11); complete {
		t.Error("complete back to 11, which is more than is kept")
	}
	if got, complete := cache.CancellationsAfter(33); !complete || len(got) != 3 {
		t.Errorf("after 33: %v, complete %v", got, complete)
	}
}

// Records are never removed, so that a node holds a line of every job there ever was.
// A million of them take some 35 MB, by the heap; the bound is below twice of that.
func TestCacheHoldsLittle(t *testing.T) {
	const many = 50000
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	cache := New(nil, Options{CancellationsKept: 100})
	before := heap()
	for n := range many {
		cache.Apply(strings.Clone(jobs.RecordKey(fmt.Sprintf("j-%06d", n))), []byte(`{"stance":"done","tasks":30}`), uint64(n))
	}
	each := float64(heap()-before) / many
	runtime.KeepAlive(cache)
	t.Logf("%.0f bytes a job", each)
	if each > 45 {
		t.Errorf("%.0f bytes a job", each)
	}
}
