package jobcache_test

import (
	"fmt"
	"sync"
	"testing"

	"ospreyslip/internal/jobs"
)

// Once any controller has told a user that a job is accepted, done or cancelled, no controller
// may return an older state. The test covers a lagging watch, compacted changes, a refusing store
// and an outage.
func TestGetNeverReturnsOlderState(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.wantState("j-1", "404", "never submitted")
		s.writeRecord("j-1", jobs.Queued)
		s.wantState("j-1", jobs.Queued, "just accepted by another controller")
		s.writeRecord("j-1", jobs.Done)
		s.wantState("j-1", jobs.Done, "just done")

		s.store.SetWatchLag(2)
		s.writeRecord("j-2", jobs.Queued)
		s.wantState("j-2", "503", "the watch does not show its acceptance yet, so the state is unknown")
		s.wantState("j-1", "503", "the lagging watch may also lack a change of this job")
		s.store.SetWatchLag(0)
		s.wantState("j-2", jobs.Queued, "the watch has caught up")

		s.store.SetHistoryLength(3)
		for i := range 10 {
			s.writeRecord(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.writeRecord("j-2", jobs.Cancelled)
		s.wantState("j-2", jobs.Cancelled, "the changes since the last read were compacted")
		s.wantState("j-15", jobs.Queued, "all records were read again after compaction")

		s.store.SetRefused("node-0", true)
		s.writeRecord("j-15", jobs.Done)
		s.wantState("j-15", "503", "the store refuses only this controller")
		s.store.SetRefused("node-0", false)
		s.wantState("j-15", jobs.Done, "served again")

		s.store.SetOutage(true)
		s.wantState("j-15", "503", "an outage")
		s.wantState("j-99", "503", "during the outage a job missing from the cache may exist")
		s.store.SetOutage(false)
		s.wantState("j-15", jobs.Done, "after the outage")
		s.wantState("j-99", "503", "the store may have been rolled back in the outage and another controller may know the job")
		s.cache.Readiness.ConfirmByPeers(1)
		s.wantState("j-99", "503", "peers have confirmed only the first of two outages")
		s.cache.Readiness.ConfirmByPeers(2)
		s.wantState("j-99", "404", "peers have confirmed the last outage")
	})
}

// A thousand concurrent polls cost the key-value store about as many reads as a single one.
func TestPollsShareReads(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.writeRecord("j-1", jobs.Queued)
		s.wantState("j-1", jobs.Queued, "accepted")
		before := s.store.RequestCount("/watch")
		var polls sync.WaitGroup
		for range 1000 {
			polls.Go(func() { s.wantState("j-1", jobs.Queued, "concurrent polls") })
		}
		polls.Wait()
		if n := s.store.RequestCount("/watch") - before; n > 3 {
			t.Errorf("%d reads for 1000 concurrent polls, want at most 3", n)
		}
	})
}
