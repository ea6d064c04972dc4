package jobcache_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// scenario is the cache of one controller and a client with which another controller writes.
type scenario struct {
	t         *testing.T
	store     *emulator.KVStore
	peerStore *kvstore.Client
	cache     *jobcache.Cache
}

// withCache runs a scenario whose cache is kept up to date.
func withCache(t *testing.T, run func(*scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		client := func(host string) *kvstore.Client {
			return kvstore.New("state:1", network.Transport(host), time.Second, kvstore.RateLimits{RequestsPerSecond: 1000, WritesPerSecond: 1000})
		}
		ctx, cancel := context.WithCancel(t.Context())
		// There are no peers that could know more jobs.
		cache := jobcache.New(client("node-0"), jobcache.Options{
			MinReadInterval: 100 * time.Millisecond, IdleReadInterval: 10 * time.Second, SuspectFor: 30 * time.Second, CancellationsKept: 8,
		})
		cache.Readiness.AssumeComplete()
		var background sync.WaitGroup
		background.Go(func() { cache.Run(ctx) })
		run(&scenario{t, store, client("node-1"), cache})
		cancel()
		background.Wait()
		network.Wait()
	})
}

// writeRecord writes a job's record with the state from the other controller.
func (s *scenario) writeRecord(id, state string) {
	s.t.Helper()
	value, _ := json.Marshal(jobs.Record{State: state, Tasks: 3})
	key := jobs.RecordKey(id)
	pair, _, err := s.peerStore.Get(s.t.Context(), key)
	if err != nil {
		s.t.Fatal(err)
	}
	guard, write := kvstore.Guard{Key: key, Revision: pair.Revision}, kvstore.Write{Set: key, Value: value}
	if _, failed, err := s.peerStore.Commit(s.t.Context(), []kvstore.Guard{guard}, []kvstore.Write{write}); err != nil || len(failed) > 0 {
		s.t.Fatal(err, failed)
	}
}

// pollState returns the state that a user would be shown, "404" if the job was never accepted, or
// "503" on an error.
func (s *scenario) pollState(id string) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
	defer cancel()
	rec, found, err := s.cache.Get(ctx, id)
	switch {
	case err != nil:
		return "503"
	case !found:
		return "404"
	}
	return rec.State
}

// wantState checks the result of pollState.
func (s *scenario) wantState(id, state, when string) {
	s.t.Helper()
	if got := s.pollState(id); got != state {
		s.t.Errorf("%s: %s is %s, want %s", when, id, got, state)
	}
}

// evidenceCounts counts the evidence of losses that a cache reports, by kind.
type evidenceCounts struct {
	mu    sync.Mutex
	kinds map[detection.Kind]int
}

// collectEvidence collects the evidence that the cache reports from now on.
func (s *scenario) collectEvidence() *evidenceCounts {
	e := &evidenceCounts{kinds: map[detection.Kind]int{}}
	s.cache.OnLoss = func(l detection.Evidence) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.kinds[l.Kind]++
	}
	return e
}

func (e *evidenceCounts) count(kind detection.Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kinds[kind]
}

func (e *evidenceCounts) wantNone(t *testing.T, when string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.kinds) > 0 {
		t.Errorf("%s: cache reports a loss: %v", when, e.kinds)
	}
}

// wantLost checks the lost jobs, each given as its ID and state.
func (s *scenario) wantLost(when string, want ...string) {
	s.t.Helper()
	page, _ := s.cache.LostPage("", 100)
	var got []string
	for _, l := range page {
		got = append(got, l.ID+" "+l.State)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		s.t.Errorf("%s: lost %v, want %v", when, got, want)
	}
}

// writeJobOfEachState writes a job in each stored state and waits until the cache has read them.
func (s *scenario) writeJobOfEachState() {
	s.t.Helper()
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		s.writeRecord(id, jobs.Queued)
	}
	s.writeRecord("j-2", jobs.Done)
	s.writeRecord("j-3", jobs.Cancelled)
	s.wantState("j-3", jobs.Cancelled, "initial records")
}
