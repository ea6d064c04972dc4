package jobs_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// evidence collects what a cache tells of losses.
type evidence struct {
	mu    sync.Mutex
	kinds map[detection.Kind]int
}

func (c *cached) evidence() *evidence {
	e := &evidence{kinds: map[detection.Kind]int{}}
	c.m.OnLoss = func(l detection.Evidence) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.kinds[l.Kind]++
	}
	return e
}

func (e *evidence) count(kind detection.Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kinds[kind]
}

func (e *evidence) none(t *testing.T, when string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.kinds) > 0 {
		t.Errorf("%s: taken for a loss: %v", when, e.kinds)
	}
}

func (c *cached) wantLost(when string, want ...string) {
	c.t.Helper()
	page, _ := c.m.Lost("", 100)
	var got []string
	for _, l := range page {
		got = append(got, l.ID+" "+l.State)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		c.t.Errorf("%s: lost %v, want %v", when, got, want)
	}
}

// fill makes a job of each state, and has the cache learn them.
func (c *cached) fill() {
	c.t.Helper()
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		c.write(id, jobs.Queued)
	}
	c.write("j-2", jobs.Done)
	c.write("j-3", jobs.Cancelled)
	c.want("j-3", jobs.Cancelled, "to begin with")
}

// What does not come up to a loss is not taken for one: lagging watches, changes that are
// no longer kept, refusals and outages, and a listing that others write amidst.
func TestNoLossIsSeenWhereThereIsNone(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		c.store.SetWatchLag(2)
		c.write("j-4", jobs.Queued)
		c.want("j-1", "503", "the watch lags")
		c.store.SetWatchLag(0)
		c.store.SetHistoryLength(2)
		for i := range 20 {
			c.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		c.want("j-119", jobs.Queued, "read anew")
		c.store.SetRefused("perch-0", true)
		c.want("j-1", "503", "refused")
		c.store.SetRefused("perch-0", false)
		c.store.SetOutage(true)
		c.want("j-1", "503", "an outage")
		c.store.SetOutage(false)
		c.want("j-1", jobs.Queued, "after it")
		c.want("j-99", "503", "others may know more after an outage")
		c.m.Confirm(1) // refused and down without an answer in between: it is one
		c.want("j-99", "404", "never submitted")
		seen.none(c.t, "an ordinary day")
		c.wantLost("an ordinary day")
	})
}

// A removed record is seen by the watch. The job is answered as known, what nobody knows
// is uncertain, and all is as before when the record is back.
func TestRemovedRecord(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		c.store.LoseKeys(false, emulator.WithKey("job/j-2"))
		c.want("j-2", jobs.Done, "its record is lost")
		c.want("j-99", "503", "it may have been lost before this node knew of it")
		c.wantLost("one removed", "j-2 done")
		if seen.count(detection.RecordRemoved) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		c.write("j-2", jobs.Done)
		c.want("j-2", jobs.Done, "written back")
		c.wantLost("written back")
		c.m.Compared()
		c.want("j-99", "404", "all has been compared")
	})
}

// A record that goes without a trace is missed at the next listing, whatever makes the
// cache list: here, that the changes in between are no longer kept.
func TestRecordMissingFromAListing(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		c.store.LoseKeys(true, emulator.WithKey("job/j-1"))
		c.want("j-1", jobs.Queued, "lost without a trace")
		seen.none(t, "not to be noticed yet")
		c.store.SetHistoryLength(2)
		for i := range 20 {
			c.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		c.want("j-1", jobs.Queued, "listed")
		c.wantLost("listed", "j-1 queued")
		if seen.count(detection.RecordMissing) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
	})
}

// An audit finds it without any other cause.
func TestAuditFindsWhatIsMissing(t *testing.T) {
	withCache(t, func(c *cached) {
		c.fill()
		ctx, stop := context.WithTimeout(c.t.Context(), 90*time.Second)
		defer stop()
		var audits sync.WaitGroup
		audits.Go(func() { c.m.Audit(ctx, time.Minute, 10*time.Millisecond) })
		c.store.LoseKeys(true, emulator.WithKey("job/j-3"))
		time.Sleep(70 * time.Second)
		c.wantLost("audited", "j-3 aborted")
		audits.Wait()
	})
}

// A service that is put back to an older revision has lost what came since, and says
// less of the rest: what is over stays over.
func TestServicePutBack(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.write("j-1", jobs.Queued)
		c.write("j-2", jobs.Queued)
		before := c.store.Backup()
		c.write("j-2", jobs.Done)
		c.write("j-3", jobs.Queued)
		c.write("j-3", jobs.Cancelled)
		c.want("j-3", jobs.Cancelled, "before")
		c.store.Restore(before)
		c.want("j-2", jobs.Done, "its record says queued again")
		c.want("j-3", jobs.Cancelled, "its record is gone")
		c.want("j-1", jobs.Queued, "untouched")
		c.wantLost("put back", "j-2 done", "j-3 aborted")
		if seen.count(detection.RevisionBack) != 1 || seen.count(detection.RecordOlder) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		// Revisions that were known before the loss are given out again.
		for i := range 10 {
			c.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
			c.want(fmt.Sprintf("j-1%d", i), jobs.Queued, "accepted since")
		}
		c.write("j-1", jobs.Done)
		c.want("j-1", jobs.Done, "under a revision that was another's before")
		c.wantLost("later", "j-2 done", "j-3 aborted")
	})
}

// All records are gone: everything is answered as known.
func TestEverythingLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		withCache(t, func(c *cached) {
			c.fill()
			c.store.LoseKeys(silently, emulator.WithPrefix(""))
			if silently {
				c.store.SetHistoryLength(1) // a new service: it keeps no earlier changes
				c.write("j-8", jobs.Queued)
				c.write("j-9", jobs.Queued)
			}
			c.want("j-1", jobs.Queued, "lost")
			c.want("j-2", jobs.Done, "lost")
			c.want("j-3", jobs.Cancelled, "lost")
			c.wantLost("all", "j-1 queued", "j-2 done", "j-3 aborted")
		})
	}
}

// A record that ends otherwise than users were told is a contradiction, not an answer.
func TestContradictingRecord(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		c.write("j-2", jobs.Cancelled)
		c.want("j-2", jobs.Done, "as users were told")
		if seen.count(detection.RecordContradicts) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		c.wantLost("contradicted", "j-2 done")
	})
}

// Pages of lost jobs go through all of them, in order and once.
func TestPagesOfLostJobs(t *testing.T) {
	withCache(t, func(c *cached) {
		for i := range 25 {
			c.write(fmt.Sprintf("j-%03d", i), jobs.Queued)
		}
		c.want("j-024", jobs.Queued, "to begin with")
		c.store.LoseKeys(false, emulator.WithPrefix("job/j-0"))
		c.want("j-001", jobs.Queued, "lost")
		after, pages, all := "", 0, []string{}
		for more := true; more; pages++ {
			var page []jobs.Lost
			page, more = c.m.Lost(after, 10)
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
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		before := c.store.Backup()
		c.write("j-50", jobs.Queued)
		c.write("j-51", jobs.Cancelled)
		c.want("j-51", jobs.Cancelled, "known")
		c.store.SetOutage(true)
		c.want("j-50", "503", "an outage")
		c.store.Restore(before)
		c.store.SetOutage(false)
		for i := range 4 {
			c.write(fmt.Sprintf("j-6%d", i), jobs.Queued)
		}
		c.want("j-60", jobs.Queued, "served again")
		if seen.count(detection.RevisionBack) != 1 {
			t.Errorf("evidence: %v", seen.kinds)
		}
		c.want("j-51", jobs.Cancelled, "its user was told")
		c.wantLost("put back", "j-50 queued", "j-51 aborted")
		if time.Since(c.m.WitnessesChecked()) < time.Minute {
			t.Error("the newest that is known was not found in the records")
		}
	})
}

// What the leader tells of records is known, though they are lost before this node has read
// them. Its own watch may show older changes first, and that is no loss.
func TestHeardFromTheLeader(t *testing.T) {
	withCache(t, func(c *cached) {
		seen := c.evidence()
		c.fill()
		c.write("j-4", jobs.Queued)
		c.write("j-4", jobs.Done)
		c.m.Hear("j-4", jobs.Done, 1)
		c.m.Hear("j-2", jobs.Queued, 1)
		c.m.Hear("j-3", jobs.Done, 1)
		c.m.Hear("no job", jobs.Done, 1)
		c.m.Hear("j-71", "flying", 1)
		c.want("j-4", jobs.Done, "both changes read after that was heard")
		c.want("j-2", jobs.Done, "an older word")
		c.want("j-3", jobs.Cancelled, "another end than is known")
		c.want("j-71", "404", "no state of ours")
		seen.none(t, "all is there")
		before := c.store.Backup()
		c.write("j-70", jobs.Queued)
		c.write("j-1", jobs.Cancelled)
		c.m.Hear("j-70", jobs.Queued, 1)
		c.m.Hear("j-1", jobs.Cancelled, 1)
		if c.m.NeverAccepted("j-70") {
			t.Error("heard of, and called never accepted")
		}
		c.store.Restore(before)
		c.want("j-70", jobs.Queued, "accepted, then put back")
		c.want("j-1", jobs.Cancelled, "cancelled, then put back")
		c.wantLost("put back", "j-1 aborted", "j-70 queued")
	})
}
