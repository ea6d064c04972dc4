package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/snapshot"
)

// handlerTransport is an http.RoundTripper that calls a handler directly and counts the requests.
type handlerTransport struct {
	handler  http.Handler
	requests atomic.Int64
}

func (t *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.requests.Add(1)
	return respond(t.handler, r), nil
}

// storedJobs returns a store with the records of so many jobs, one in eight of them unfinished.
func storedJobs(count int) *emulator.KVStore {
	store := emulator.NewKVStore()
	spec := batchJob("j-0", 12, 300)
	for i := range count {
		id := fmt.Sprintf("j-%08d", i)
		rec := jobs.Record{State: jobs.Done, Tasks: 12}
		if i%8 == 0 {
			own := *spec
			own.ID = id
			rec = jobs.Record{State: jobs.Queued, Tasks: 12, Spec: &own, AcceptedAtMs: 1_800_000_000_000}
		}
		raw, _ := json.Marshal(rec)
		store.Put(jobs.RecordKey(id), raw)
	}
	return store
}

// heapMB collects garbage and returns the size of the heap in MiB.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// TestRecoveryAtScale measures the time, requests and memory that a snapshot and an audit of all
// records take, in real time. OSPREYSLIP_SCALE sets the number of jobs, for example 300000.
func TestRecoveryAtScale(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("OSPREYSLIP_SCALE"))
	if err != nil {
		count = 2000
	}
	store := storedJobs(count)
	transport := &handlerTransport{handler: store}
	client := kvstore.New("state:1", transport, time.Minute, kvstore.RateLimits{RequestsPerSecond: 1e6, WritesPerSecond: 1e6})
	measure := func(what string, do func()) {
		before, requests, began := heapMB(), transport.requests.Load(), time.Now()
		do()
		took := time.Since(began)
		t.Logf("%d jobs, %s: %v, %d requests, heap grew by %.1f MB", count, what, took.Round(time.Millisecond), transport.requests.Load()-requests, heapMB()-before)
	}

	var taken *snapshot.Snapshot
	measure("snapshot", func() {
		if taken, err = snapshot.Take(t.Context(), client, "c", time.Now()); err != nil {
			t.Fatal(err)
		}
	})
	var path string
	measure("file written", func() {
		if path, err = snapshot.WriteFile(t.TempDir(), taken); err != nil {
			t.Fatal(err)
		}
	})
	if info, err := os.Stat(path); err == nil {
		t.Logf("%d jobs, %s: %.1f MB", count, filepath.Ext(path), float64(info.Size())/(1<<20))
	}
	measure("file read", func() {
		if again, err := snapshot.ReadFile(path); err != nil || len(again.Records) != len(taken.Records) {
			t.Fatal(err)
		}
	})
	taken = nil

	cache := jobcache.New(client, jobcache.Options{MinReadInterval: time.Millisecond, IdleReadInterval: time.Millisecond, SuspectFor: time.Minute, CancellationsKept: 100})
	measure("all records read by a controller", func() {
		go cache.Run(t.Context())
		for !cache.Readiness.InitialReadDone() {
			time.Sleep(time.Millisecond)
		}
	})
	auditAll := func() {
		ticket := cache.RequestAudit()
		for !cache.AuditDone(ticket) {
			time.Sleep(time.Millisecond)
		}
	}
	measure("audit, nothing lost", auditAll)
	store.LoseKeys(true, emulator.WithPrefix("job/"))
	measure("audit, everything lost", auditAll)
	if cache.LostCount() != count {
		t.Errorf("%d of %d lost jobs were detected", cache.LostCount(), count)
	}
	knowledge := recovery.KnowledgeByJob{}
	measure("knowledge of unfinished jobs merged and decided", func() {
		for after, more := "", true; more; {
			var page []jobcache.LostJob
			page, more = cache.LostPage(after, maxLostJobsPerResponse)
			for _, lost := range page {
				after = lost.ID
				if lost.State == jobs.Queued { // finished jobs are written back a page at a time
					knowledge.Merge(lost.ID, recovery.Attribute(recovery.FromCache("perch-1"), recovery.Knowledge{Unfinished: true, Tasks: lost.Tasks}))
				}
			}
		}
		for _, id := range knowledge.IDs() {
			recovery.Decide(knowledge[id], true)
		}
	})
	if want := (count + 7) / 8; len(knowledge) != want {
		t.Errorf("%d of %d unfinished jobs are known", len(knowledge), want)
	}
}

// respond passes a request to a handler and returns its response.
func respond(h http.Handler, r *http.Request) *http.Response {
	inner := r.Clone(r.Context())
	inner.RequestURI = r.URL.RequestURI()
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, inner)
	return rec.Result()
}
