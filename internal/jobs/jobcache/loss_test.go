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
func TestNoFalseEvidenceOfLoss(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.SetWatchLag(2)
		s.writeRecord("j-4", jobs.Queued)
		s.wantState("j-1", "503", "the watch lags")
		s.store.SetWatchLag(0)
		s.store.SetHistoryLength(2)
		for i := range 20 {
			s.writeRecord(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.wantState("j-119", jobs.Queued, "all records read again")
		s.store.SetRefused("node-0", true)
		s.wantState("j-1", "503", "the store refuses this controller")
		s.store.SetRefused("node-0", false)
		s.store.SetOutage(true)
		s.wantState("j-1", "503", "an outage")
		s.store.SetOutage(false)
		s.wantState("j-1", jobs.Queued, "after the outage")
		s.wantState("j-99", "503", "peers may know more after an outage")
		s.cache.Readiness.ConfirmByPeers(1) // one outage: no request succeeded in between
		s.wantState("j-99", "404", "never submitted")
		evidence.wantNone(s.t, "no record is lost")
		s.wantLost("no record is lost")
	})
}

// The watch shows the removal of a record. The job keeps its known state, unknown jobs are
// uncertain, and both return to normal once the record is written back and the records have been
// compared.
func TestRemovedRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(false, emulator.WithKey("job/j-2"))
		s.wantState("j-2", jobs.Done, "its record is lost")
		s.wantState("j-99", "503", "it may have been lost before this controller learned of it")
		s.wantLost("one record removed", "j-2 done")
		if evidence.count(detection.RecordRemoved) != 1 {
			t.Errorf("evidence: %v", evidence.kinds)
		}
		s.writeRecord("j-2", jobs.Done)
		s.wantState("j-2", jobs.Done, "written back")
		s.wantLost("written back")
		s.cache.Readiness.MarkCompared()
		s.wantState("j-99", "404", "all records have been compared")
	})
}

// A record that disappears without a watch event is found missing by the next listing. Here
// compacted changes make the cache list all records.
func TestRecordMissingFromListing(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		s.store.LoseKeys(true, emulator.WithKey("job/j-1"))
		s.wantState("j-1", jobs.Queued, "its record is lost without a watch event")
		evidence.wantNone(t, "before the next listing")
		s.store.SetHistoryLength(2)
		for i := range 20 {
			s.writeRecord(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		s.wantState("j-1", jobs.Queued, "after the listing")
		s.wantLost("after the listing", "j-1 queued")
		if evidence.count(detection.RecordMissing) != 1 {
			t.Errorf("evidence: %v", evidence.kinds)
		}
	})
}

// A periodic audit finds a record that disappeared without a watch event.
func TestAuditFindsMissingRecord(t *testing.T) {
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
func TestStoreRolledBack(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeRecord("j-1", jobs.Queued)
		s.writeRecord("j-2", jobs.Queued)
		backup := s.store.Backup()
		s.writeRecord("j-2", jobs.Done)
		s.writeRecord("j-3", jobs.Queued)
		s.writeRecord("j-3", jobs.Cancelled)
		s.wantState("j-3", jobs.Cancelled, "before the restore")
		s.store.Restore(backup)
		s.wantState("j-2", jobs.Done, "its record says queued again")
		s.wantState("j-3", jobs.Cancelled, "its record is gone")
		s.wantState("j-1", jobs.Queued, "its record is unchanged")
		s.wantLost("after the restore", "j-2 done", "j-3 aborted")
		if evidence.count(detection.RevisionRolledBack) != 1 || evidence.count(detection.RecordOlder) != 1 {
			t.Errorf("evidence: %v", evidence.kinds)
		}
		// The store assigns revisions again that the cache knew before the loss.
		for i := range 10 {
			s.writeRecord(fmt.Sprintf("j-1%d", i), jobs.Queued)
			s.wantState(fmt.Sprintf("j-1%d", i), jobs.Queued, "accepted after the restore")
		}
		s.writeRecord("j-1", jobs.Done)
		s.wantState("j-1", jobs.Done, "at a revision that another record had before")
		s.wantLost("after further writes", "j-2 done", "j-3 aborted")
	})
}

// After the loss of all records, polls return the states that the cache knows.
func TestAllRecordsLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		withCache(t, func(s *scenario) {
			s.writeJobOfEachState()
			s.store.LoseKeys(silently, emulator.WithPrefix(""))
			if silently {
				s.store.SetHistoryLength(1) // a new store: it has no earlier changes
				s.writeRecord("j-8", jobs.Queued)
				s.writeRecord("j-9", jobs.Queued)
			}
			s.wantState("j-1", jobs.Queued, "lost")
			s.wantState("j-2", jobs.Done, "lost")
			s.wantState("j-3", jobs.Cancelled, "lost")
			s.wantLost("all", "j-1 queued", "j-2 done", "j-3 aborted")
		})
	}
}

// A record whose final state differs from the one that users were told is evidence of a loss, and its
// state is not shown to users.
func TestContradictingRecord(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		s.writeRecord("j-2", jobs.Cancelled)
		s.wantState("j-2", jobs.Done, "the state that users were told")
		if evidence.count(detection.RecordContradicts) != 1 {
			t.Errorf("evidence: %v", evidence.kinds)
		}
		s.wantLost("contradicted", "j-2 done")
	})
}

// The pages of lost jobs contain each job once, in order of ID.
func TestLostPage(t *testing.T) {
	withCache(t, func(s *scenario) {
		for i := range 25 {
			s.writeRecord(fmt.Sprintf("j-%03d", i), jobs.Queued)
		}
		s.wantState("j-024", jobs.Queued, "before the loss")
		s.store.LoseKeys(false, emulator.WithPrefix("job/j-0"))
		s.wantState("j-001", jobs.Queued, "lost")
		after, pages, ids := "", 0, []string{}
		for more := true; more; pages++ {
			var page []jobcache.LostJob
			page, more = s.cache.LostPage(after, 10)
			for _, l := range page {
				ids = append(ids, l.ID)
				after = l.ID
			}
		}
		if len(ids) != 25 || pages != 3 || ids[0] != "j-000" || ids[24] != "j-024" {
			t.Errorf("%d pages: %v", pages, ids)
		}
	})
}

// The store is rolled back during an outage, and new changes pass the old revision before this
// controller reads again. The store's revision does not reveal the rollback; only the most recent
// known changes do.
func TestRollbackHiddenByNewChanges(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		backup := s.store.Backup()
		s.writeRecord("j-50", jobs.Queued)
		s.writeRecord("j-51", jobs.Cancelled)
		s.wantState("j-51", jobs.Cancelled, "before the outage")
		s.store.SetOutage(true)
		s.wantState("j-50", "503", "an outage")
		s.store.Restore(backup)
		s.store.SetOutage(false)
		for i := range 4 {
			s.writeRecord(fmt.Sprintf("j-6%d", i), jobs.Queued)
		}
		s.wantState("j-60", jobs.Queued, "after the outage")
		if evidence.count(detection.RevisionRolledBack) != 1 {
			t.Errorf("evidence: %v", evidence.kinds)
		}
		s.wantState("j-51", jobs.Cancelled, "the state that its user was told")
		s.wantLost("after the rollback", "j-50 queued", "j-51 aborted")
		if time.Since(s.cache.RollbackCheckedAt()) < time.Minute {
			t.Error("rollback check found no rollback, although the newest known change is missing")
		}
	})
}

// Changes announced by the leader are known even if they are lost before this controller has read
// them. The controller's own watch may show older changes first, which is not a loss.
func TestAnnouncedChanges(t *testing.T) {
	withCache(t, func(s *scenario) {
		evidence := s.collectEvidence()
		s.writeJobOfEachState()
		s.writeRecord("j-4", jobs.Queued)
		s.writeRecord("j-4", jobs.Done)
		s.cache.NoteAnnounced("j-4", jobs.Done, 1)
		s.cache.NoteAnnounced("j-2", jobs.Queued, 1)
		s.cache.NoteAnnounced("j-3", jobs.Done, 1)
		s.cache.NoteAnnounced("no job", jobs.Done, 1)
		s.cache.NoteAnnounced("j-71", "flying", 1)
		s.wantState("j-4", jobs.Done, "both changes read after the announcement")
		s.wantState("j-2", jobs.Done, "an older change announced")
		s.wantState("j-3", jobs.Cancelled, "another final state announced")
		s.wantState("j-71", "404", "an invalid state announced")
		evidence.wantNone(t, "no record is lost")
		backup := s.store.Backup()
		s.writeRecord("j-70", jobs.Queued)
		s.writeRecord("j-1", jobs.Cancelled)
		s.cache.NoteAnnounced("j-70", jobs.Queued, 1)
		s.cache.NoteAnnounced("j-1", jobs.Cancelled, 1)
		if s.cache.NeverAccepted("j-70") {
			t.Error("an announced job is reported as never accepted")
		}
		s.store.Restore(backup)
		s.wantState("j-70", jobs.Queued, "accepted before the rollback")
		s.wantState("j-1", jobs.Cancelled, "cancelled before the rollback")
		s.wantLost("after the rollback", "j-1 aborted", "j-70 queued")
	})
}
