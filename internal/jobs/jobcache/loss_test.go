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

// Lagging watches, compacted changes, refusals, outages and listings with concurrent writes are
// not taken for a loss of records.
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
		s.want("j-119", jobs.Queued, "all records read again")
		s.store.SetRefused("node-0", true)
		s.want("j-1", "503", "the store refuses this controller")
		s.store.SetRefused("node-0", false)
		s.store.SetOutage(true)
		s.want("j-1", "503", "an outage")
		s.store.SetOutage(false)
		s.want("j-1", jobs.Queued, "after the outage")
		s.want("j-99", "503", "peers may know more after an outage")
		s.cache.Readiness.ConfirmByPeers(1) // one outage: no request succeeded in between
		s.want("j-99", "404", "never submitted")
		seen.wantNone(s.t, "no record is lost")
		s.wantLost("no record is lost")
	})
}

// The watch shows the removal of a record. The job keeps its known state, unknown jobs are
// uncertain, and both return to normal once the record is written back and the records have been
// compared.
func TestRemovedRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(false, emulator.WithKey("job/j-2"))
		s.want("j-2", jobs.Done, "its record is lost")
		s.want("j-99", "503", "it may have been lost before this controller learned of it")
		s.wantLost("one record removed", "j-2 done")
		if seen.count(detection.RecordRemoved) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.write("j-2", jobs.Done)
		s.want("j-2", jobs.Done, "written back")
		s.wantLost("written back")
		s.cache.Readiness.MarkCompared()
		s.want("j-99", "404", "all records have been compared")
	})
}

// A record that disappears without a watch event is found missing by the next listing. Here
// compacted changes make the cache list all records.
func TestRecordMissingFromAListing(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(true, emulator.WithKey("job/j-1"))
		s.want("j-1", jobs.Queued, "its record is lost without a watch event")
		seen.wantNone(t, "before the next listing")
		s.store.SetHistoryLength(2)
		for i := range 20 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.want("j-1", jobs.Queued, "after the listing")
		s.wantLost("after the listing", "j-1 queued")
		if seen.count(detection.RecordMissing) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
	})
}

// A periodic audit finds a record that disappeared without a watch event.
func TestAuditFindsWhatIsMissing(t *testing.T) {
	withCache(t, func(s *scenario) {
		s.writeJobOfEachState()
		ctx, stop := context.WithTimeout(s.t.Context(), 90*time.Second)
		defer stop()
		var audits sync.WaitGroup
		audits.Go(func() { s.cache.RunAudits(ctx, time.Minute, 10*time.Millisecond) })
		s.store.LoseKeys(true, emulator.WithKey("job/j-3"))
		time.Sleep(70 * time.Second)
		s.wantLost("after the audit", "j-3 aborted")
		audits.Wait()
	})
}

// A store restored to an older revision lacks the records written since and has older states of
// others. A finished job stays finished.
func TestServicePutBack(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.write("j-1", jobs.Queued)
		s.write("j-2", jobs.Queued)
		before := s.store.Backup()
		s.write("j-2", jobs.Done)
		s.write("j-3", jobs.Queued)
		s.write("j-3", jobs.Cancelled)
		s.want("j-3", jobs.Cancelled, "before the restore")
		s.store.Restore(before)
		s.want("j-2", jobs.Done, "its record says queued again")
		s.want("j-3", jobs.Cancelled, "its record is gone")
		s.want("j-1", jobs.Queued, "its record is unchanged")
		s.wantLost("after the restore", "j-2 done", "j-3 aborted")
		if seen.count(detection.RevisionBack) != 1 || seen.count(detection.RecordOlder) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		// The store assigns revisions again that the cache knew before the loss.
		for i := range 10 {
			s.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
			s.want(fmt.Sprintf("j-1%d", i), jobs.Queued, "accepted after the restore")
		}
		s.write("j-1", jobs.Done)
		s.want("j-1", jobs.Done, "at a revision that another record had before")
		s.wantLost("after further writes", "j-2 done", "j-3 aborted")
	})
}

// After the loss of all records, polls return the states that the cache knows.
func TestEverythingLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		withCache(t, func(s *scenario) {
			s.writeJobOfEachState()
			s.store.LoseKeys(silently, emulator.WithPrefix(""))
			if silently {
				s.store.SetHistoryLength(1) // a new store: it has no earlier changes
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

// A record that shows another final state than users were told is evidence of a loss and is not
// shown to users.
func TestContradictingRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		s.write("j-2", jobs.Cancelled)
		s.want("j-2", jobs.Done, "the state that users were told")
		if seen.count(detection.RecordContradicts) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.wantLost("contradicted", "j-2 done")
	})
}

// The pages of lost jobs contain each job once, in order of ID.
func TestPagesOfLostJobs(t *testing.T) {
	withCache(t, func(s *scenario) {
		for i := range 25 {
			s.write(fmt.Sprintf("j-%03d", i), jobs.Queued)
		}
		s.want("j-024", jobs.Queued, "before the loss")
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

// The store is rolled back during an outage, and new changes pass the old revision before this
// controller reads again. The store's revision does not reveal the rollback; only the most recent
// known changes do.
func TestPutBackAndOvertaken(t *testing.T) {
	withCache(t, func(s *scenario) {
		seen := s.collectEvidence()
		s.writeJobOfEachState()
		before := s.store.Backup()
		s.write("j-50", jobs.Queued)
		s.write("j-51", jobs.Cancelled)
		s.want("j-51", jobs.Cancelled, "before the outage")
		s.store.SetOutage(true)
		s.want("j-50", "503", "an outage")
		s.store.Restore(before)
		s.store.SetOutage(false)
		for i := range 4 {
			s.write(fmt.Sprintf("j-6%d", i), jobs.Queued)
		}
		s.want("j-60", jobs.Queued, "after the outage")
		if seen.count(detection.RevisionBack) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		s.want("j-51", jobs.Cancelled, "the state that its user was told")
		s.wantLost("after the rollback", "j-50 queued", "j-51 aborted")
		if time.Since(s.cache.RollbackCheckedAt()) < time.Minute {
			t.Error("rollback check found no rollback, although the newest known change is missing")
		}
	})
}

// Changes announced by the leader are known even if they are lost before this controller has read
// them. The controller's own watch may show older changes first, which is not a loss.
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
		s.want("j-4", jobs.Done, "both changes read after the announcement")
		s.want("j-2", jobs.Done, "an older change announced")
		s.want("j-3", jobs.Cancelled, "another final state announced")
		s.want("j-71", "404", "an invalid state announced")
		seen.wantNone(t, "no record is lost")
		before := s.store.Backup()
		s.write("j-70", jobs.Queued)
		s.write("j-1", jobs.Cancelled)
		s.cache.NoteAnnounced("j-70", jobs.Queued, 1)
		s.cache.NoteAnnounced("j-1", jobs.Cancelled, 1)
		if s.cache.NeverAccepted("j-70") {
			t.Error("an announced job is reported as never accepted")
		}
		s.store.Restore(before)
		s.want("j-70", jobs.Queued, "accepted before the rollback")
		s.want("j-1", jobs.Cancelled, "cancelled before the rollback")
		s.wantLost("after the rollback", "j-1 aborted", "j-70 queued")
	})
}
