package jobcache_test

import (
	"fmt"
	"sync"
	"testing"

	"ospreyslip/internal/jobs"
)

// Once any controller has told a user that a job is accepted, done or cancelled, no
// controller may give an older answer, whatever befalls its cache.
func TestCacheIsNeverBehind(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.want("j-1", "404", "never submitted")
		s.write("j-1", jobs.Queued)
		s.want("j-1", jobs.Queued, "just accepted by another node")
		s.write("j-1", jobs.Done)
		s.want("j-1", jobs.Done, "just done")

		s.store.SetWatchLag(2)
		s.write("j-2", jobs.Queued)
		s.want("j-2", "503", "its acceptance is not in the watch yet: neither 404 nor a guess")
		s.want("j-1", "503", "for this one, too, something newer may be missing")
		s.store.SetWatchLag(0)
		s.want("j-2", jobs.Queued, "the watch has caught up")

		s.store.SetHistoryLength(3)
		for i := range 10 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.write("j-2", jobs.Cancelled)
		s.want("j-2", jobs.Cancelled, "the changes in between are no longer kept")
		s.want("j-15", jobs.Queued, "so that all records were read again")

		s.store.SetRefused("node-0", true)
		s.write("j-15", jobs.Done)
		s.want("j-15", "503", "the state service refuses this controller alone")
		s.store.SetRefused("node-0", false)
		s.want("j-15", jobs.Done, "served again")

		s.store.SetOutage(true)
		s.want("j-15", "503", "an outage")
		s.want("j-99", "503", "an outage: what is not in the cache may exist")
		s.store.SetOutage(false)
		s.want("j-15", jobs.Done, "after it")
		s.want("j-99", "503", "the service may have been put back in it: another node may know")
		s.cache.Readiness.ConfirmByPeers(1)
		s.want("j-99", "503", "only after the first of two outages nobody knew more")
		s.cache.Readiness.ConfirmByPeers(2)
		s.want("j-99", "404", "nobody knows more")
	})
}

// A thousand polls at once cost the state service as much as one.
func TestPollsShareReads(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.write("j-1", jobs.Queued)
		s.want("j-1", jobs.Queued, "accepted")
		before := s.store.RequestCount("/watch")
		var polls sync.WaitGroup
		for range 1000 {
			polls.Go(func() { s.want("j-1", jobs.Queued, "in a crowd") })
		}
		polls.Wait()
		if n := s.store.RequestCount("/watch") - before; n > 3 {
			t.Errorf("%d reads for 1000 polls at once", n)
		}
	})
}
