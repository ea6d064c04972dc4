package jobcache_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/recovery/detection"
)

// What does not come up to a loss is not taken for one: lagging watches, changes that are
// no longer kept, refusals and outages, and a listing that others write amidst.
func TestNoLossIsSeenWhereThereIsNone(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.SetWatchLag(2)
		s.write("j-4", jobs.Queued)
		s.want("j-1", "503", "the watch lags")
		s.store.SetWatchLag(0)
		s.store.SetHistoryLength(2)
		for i := range 20 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.want("j-119", jobs.Queued, "read anew")
		s.store.SetRefused("node-0", true)
		s.want("j-1", "503", "refused")
		s.store.SetRefused("node-0", false)
		s.store.SetOutage(true)
		s.want("j-1", "503", "an outage")
		s.store.SetOutage(false)
		s.want("j-1", jobs.Queued, "after it")
		s.want("j-99", "503", "others may know more after an outage")
		s.cache.Readiness.ConfirmByPeers(1) // refused and down without an answer in between: it is one
		s.want("j-99", "404", "never submitted")
		seen.wantNone(s.t, "an ordinary day")
		s.wantLost("an ordinary day")
	})
}

// A removed record is seen by the watch. The job is answered as known, what nobody knows
// is uncertain, and all is as before when the record is back.
func TestRemovedRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(false, emulator.WithKey("job/j-2"))
		s.want("j-2", jobs.Done, "its record is lost")
		s.want("j-99", "503", "it may have been lost before this controller knew of it")
		s.wantLost("one removed", "j-2 done")
		if seen.count(detection.RecordRemoved) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.write("j-2", jobs.Done)
		s.want("j-2", jobs.Done, "written back")
		s.wantLost("written back")
		s.cache.Readiness.MarkCompared()
		s.want("j-99", "404", "all has been compared")
	})
}

// A record that goes without a trace is missed at the next listing, whatever makes the
// cache list: here, that the changes in between are no longer kept.
func TestRecordMissingFromAListing(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(true, emulator.WithKey("job/j-1"))
		s.want("j-1", jobs.Queued, "lost without a trace")
		seen.wantNone(t, "not to be noticed yet")
		s.store.SetHistoryLength(2)
		for i := range 20 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.want("j-1", jobs.Queued, "listed")
		s.wantLost("listed", "j-1 queued")
		if seen.count(detection.RecordMissing) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
	})
}

// An audit finds it without any other cause.
func TestAuditFindsWhatIsMissing(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.writeJobOfEachState()
		ctx, stop := context.WithTimeout(s.t.Context(), 90*time.Second)
		defer stop()
		var audits sync.WaitGroup
		audits.Go(func() { s.cache.RunAudits(ctx, time.Minute, 10*time.Millisecond) })
		s.store.LoseKeys(true, emulator.WithKey("job/j-3"))
		time.Sleep(70 * time.Second)
		s.wantLost("audited", "j-3 aborted")
		audits.Wait()
	})
}

// A service that is put back to an older revision has lost what came since, and says
// less of the rest: what is over stays over.
func TestServicePutBack(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.write("j-1", jobs.Queued)
		s.write("j-2", jobs.Queued)
		before := s.store.Backup()
		s.write("j-2", jobs.Done)
		s.write("j-3", jobs.Queued)
		s.write("j-3", jobs.Cancelled)
		s.want("j-3", jobs.Cancelled, "before")
		s.store.Restore(before)
		s.want("j-2", jobs.Done, "its record says queued again")
		s.want("j-3", jobs.Cancelled, "its record is gone")
		s.want("j-1", jobs.Queued, "untouched")
		s.wantLost("put back", "j-2 done", "j-3 aborted")
		if seen.count(detection.RevisionBack) != 1 || seen.count(detection.RecordOlder) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		// Revisions that were known before the loss are given out again.
		for i := range 10 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
			s.want(fmt.Sprintf("j-1%d", i), jobs.Queued, "accepted since")
		}
		s.write("j-1", jobs.Done)
		s.want("j-1", jobs.Done, "under a revision that was another's before")
		s.wantLost("later", "j-2 done", "j-3 aborted")
	})
}

// All records are gone: everything is answered as known.
func TestEverythingLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		withCache(t, func(s *scenario) {
			s.writeJobOfEachState()
			s.store.LoseKeys(silently, emulator.WithPrefix(""))
			if silently {
				s.store.SetHistoryLength(1) // a new service: it keeps no earlier changes
				s.write("j-8", jobs.Queued)
				s.write("j-9", jobs.Queued)
			}
			s.want("j-1", jobs.Queued, "lost")
			s.want("j-2", jobs.Done, "lost")
			s.want("j-3", jobs.Cancelled, "lost")
			s.wantLost("all", "j-1 queued", "j-2 done", "j-3 aborted")
		})
	}
}

// A record that ends otherwise than users were told is a contradiction, not an answer.
func TestContradictingRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.write("j-2", jobs.Cancelled)
		s.want("j-2", jobs.Done, "as users were told")
		if seen.count(detection.RecordContradicts) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.wantLost("contradicted", "j-2 done")
	})
}

// Pages of lost jobs go through all of them, in order and once.
func TestPagesOfLostJobs(t *testing.T) {
	withCache(t, func(s *scenario) {
		for i := range 25 {
			s.write(fmt.Sprintf("j-%03d", i), jobs.Queued)
		}
		s.want("j-024", jobs.Queued, "to begin with")
		s.store.LoseKeys(false, emulator.WithPrefix("job/j-0"))
		s.want("j-001", jobs.Queued, "lost")
		after, pages, all := "", 0, []string{}
		for more := true; more; pages++ {
			var page []jobcache.LostJob
			page, more = s.cache.LostPage(after, 10)
			for _, l := range page {
				all = append(all, l.ID)
				after = l.ID
			}
		}
		if len(all) != 25 || pages != 3 || all[0] != "j-000" || all[24] != "j-024" {
			t.Errorf("%d pages: %v", pages, all)
		}
	})
}

// The service is put back in an outage, and new changes overtake the old ones before this
// node reads again: its revision tells nothing, the newest records that are known do.
func TestPutBackAndOvertaken(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		before := s.store.Backup()
		s.write("j-50", jobs.Queued)
		s.write("j-51", jobs.Cancelled)
		s.want("j-51", jobs.Cancelled, "known")
		s.store.SetOutage(true)
		s.want("j-50", "503", "an outage")
		s.store.Restore(before)
		s.store.SetOutage(false)
		for i := range 4 {
			s.write(fmt.Sprintf("j-6%d", i), jobs.Queued)
		}
		s.want("j-60", jobs.Queued, "served again")
		if seen.count(detection.RevisionBack) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.want("j-51", jobs.Cancelled, "its user was told")
		s.wantLost("put back", "j-50 queued", "j-51 aborted")
		if time.Since(s.cache.RollbackCheckedAt()) < time.Minute {
			t.Error("the newest that is known was not found in the records")
		}
	})
}

// What the leader tells of records is known, though they are lost before this controller has read
// them. Its own watch may show older changes first, and that is no loss.
func TestHeardFromTheLeader(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.write("j-4", jobs.Queued)
		s.write("j-4", jobs.Done)
		s.cache.NoteAnnounced("j-4", jobs.Done, 1)
		s.cache.NoteAnnounced("j-2", jobs.Queued, 1)
		s.cache.NoteAnnounced("j-3", jobs.Done, 1)
		s.cache.NoteAnnounced("no job", jobs.Done, 1)
		s.cache.NoteAnnounced("j-71", "flying", 1)
		s.want("j-4", jobs.Done, "both changes read after that was heard")
		s.want("j-2", jobs.Done, "an older word")
		s.want("j-3", jobs.Cancelled, "another end than is known")
		s.want("j-71", "404", "no state of ours")
		seen.wantNone(t, "all is there")
		before := s.store.Backup()
		s.write("j-70", jobs.Queued)
		s.write("j-1", jobs.Cancelled)
		s.cache.NoteAnnounced("j-70", jobs.Queued, 1)
		s.cache.NoteAnnounced("j-1", jobs.Cancelled, 1)
		if s.cache.NeverAccepted("j-70") {
			t.Error("heard of, and called never accepted")
		}
		s.store.Restore(before)
		s.want("j-70", jobs.Queued, "accepted, then put back")
		s.want("j-1", jobs.Cancelled, "cancelled, then put back")
		s.wantLost("put back", "j-1 aborted", "j-70 queued")
	})
}
