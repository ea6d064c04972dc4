package jobcache

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"ospreyslip/internal/jobs"
)

// After a listing, the watch repeats changes that the listing already contained. Polls that are
// served in between must not see the older state.
func TestOlderRecordNeverReplacesNewer(t *testing.T) {
	cache := New(nil, Options{CancellationsKept: 8})
	cache.Apply("job/j-1", []byte(`{"stance":"done","tasks":3}`), 105)   // from the listing
	cache.Apply("job/j-1", []byte(`{"stance":"queued","tasks":3}`), 102) // from the watch, before 105
	if got, _ := cache.entries.get("j-1"); got.state != jobs.Done {
		t.Errorf("an older change replaced done with %s", got.state)
	}
	cache.Apply("job/j-2", []byte(`{"stance":"queued","tasks":3}`), 103)
	cache.Apply("job/j-2", []byte(`{"stance":"aborted","tasks":3}`), 107)
	if got, _ := cache.entries.get("j-2"); got.state != jobs.Cancelled {
		t.Errorf("job cancelled by a newer change has state %s", got.state)
	}
}

// CancellationsAfter reports an incomplete result once cancellations after the revision were
// dropped.
func TestCancellationsAfter(t *testing.T) {
	cache := New(nil, Options{CancellationsKept: 4})
	cancel := func(revision uint64) {
		cache.Apply(jobs.RecordKey(fmt.Sprintf("j-%d", revision)), []byte(`{"stance":"aborted"}`), revision)
	}
	if _, complete := cache.CancellationsAfter(0); complete {
		t.Error("complete before the initial read")
	}
	cache.Readiness.setInitialReadDone()
	for _, n := range []uint64{7, 3, 9, 5, 1, 9} { // a listing is in the order of keys and may repeat changes
		cancel(n)
	}
	if got, complete := cache.CancellationsAfter(4); !complete || len(got) != 3 {
		t.Errorf("after 4: %v, complete %v", got, complete)
	}
	for n := uint64(11); n < 40; n += 2 {
		cancel(n)
		if len(cache.cancellations.entries) > 8 {
			t.Fatalf("%d cancellations are kept, want at most 8", len(cache.cancellations.entries))
		}
	}
	if _, complete := cache.CancellationsAfter(11); complete {
		t.Error("complete after 11, although cancellations since then were dropped")
	}
	if got, complete := cache.CancellationsAfter(33); !complete || len(got) != 3 {
		t.Errorf("after 33: %v, complete %v", got, complete)
	}
}

// Records are never removed, so the cache keeps an entry for every job ever accepted. A million
// entries take about 35 MB of heap; the bound is less than twice that.
func TestCacheMemoryPerJob(t *testing.T) {
	const jobCount = 50000
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	cache := New(nil, Options{CancellationsKept: 100})
	before := heap()
	for n := range jobCount {
		cache.Apply(strings.Clone(jobs.RecordKey(fmt.Sprintf("j-%06d", n))), []byte(`{"stance":"done","tasks":30}`), uint64(n))
	}
	bytesPerJob := float64(heap()-before) / jobCount
	runtime.KeepAlive(cache)
	t.Logf("%.0f bytes per job", bytesPerJob)
	if bytesPerJob > 45 {
		t.Errorf("%.0f bytes per job, want at most 45", bytesPerJob)
	}
}
