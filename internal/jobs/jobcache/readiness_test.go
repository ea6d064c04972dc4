package jobcache

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// conclusions are the results of Readiness.
type conclusions struct{ neverAccepted, provenCurrent, lossSuspected, confirmed bool }

// The conclusions follow from the job counts of peers, outages of the store and evidence of a
// loss.
func TestReadiness(t *testing.T) {
	ready := conclusions{neverAccepted: true, provenCurrent: true, confirmed: true}
	for _, test := range []struct {
		name   string
		events func(r *Readiness, outages *uint64)
		want   conclusions
	}{
		{"just started", func(*Readiness, *uint64) {}, conclusions{confirmed: true}},
		{"assumed complete", func(r *Readiness, _ *uint64) { r.AssumeComplete() }, ready},
		{"as many jobs as peers know", func(r *Readiness, _ *uint64) {
			r.NotePeerJobCount(3, false)
			r.compareJobCountLocked(3, r.peerJobCount())
		}, ready},
		{"fewer jobs than peers know", func(r *Readiness, _ *uint64) {
			r.NotePeerJobCount(3, false)
			r.compareJobCountLocked(2, r.peerJobCount())
		}, conclusions{confirmed: true}},
		{"peers compare records", func(r *Readiness, _ *uint64) {
			r.NotePeerJobCount(3, true)
			r.compareJobCountLocked(3, r.peerJobCount())
		}, conclusions{confirmed: true}},
		{"outage", func(r *Readiness, outages *uint64) {
			r.AssumeComplete()
			*outages = 1
		}, conclusions{provenCurrent: true}},
		{"outage confirmed by peers", func(r *Readiness, outages *uint64) {
			r.AssumeComplete()
			*outages = 2
			r.ConfirmByPeers(2)
			r.ConfirmByPeers(1)
		}, ready},
		{"loss suspected", func(r *Readiness, _ *uint64) {
			r.AssumeComplete()
			r.SuspectLossUntil(time.Now().Add(time.Minute))
			r.SuspectLossUntil(time.Now())
		}, conclusions{provenCurrent: true, lossSuspected: true, confirmed: true}},
		{"suspicion expired", func(r *Readiness, _ *uint64) {
			r.AssumeComplete()
			r.SuspectLossUntil(time.Now().Add(time.Minute))
			time.Sleep(time.Minute)
		}, ready},
		{"started during a recovery", func(r *Readiness, _ *uint64) {
			r.AssumeComplete()
			r.setStartedInRecovery(true)
		}, conclusions{lossSuspected: true, confirmed: true}},
		{"all records compared", func(r *Readiness, outages *uint64) {
			r.AssumeComplete()
			r.setStartedInRecovery(true)
			r.SuspectLossUntil(time.Now().Add(time.Minute))
			*outages = 1
			r.MarkCompared()
		}, ready},
		{"rolled back", func(r *Readiness, _ *uint64) {
			r.AssumeComplete()
			r.SetRolledBack(true)
		}, conclusions{neverAccepted: true, confirmed: true}},
	} {
		synctest.Test(t, func(t *testing.T) {
			var outages uint64
			r := &Readiness{mu: &sync.RWMutex{}, outages: func() uint64 { return outages }, requestRead: func() {}}
			test.events(r, &outages)
			got := conclusions{r.unknownMeansNeverAccepted(), r.ProvenCurrent(), r.LossSuspected(), r.ConfirmedByPeers()}
			if got != test.want {
				t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
			}
		})
	}
}

// A peer that knows more jobs triggers a read, and the missing jobs are reported once.
func TestMissingJobsAreReportedOnce(t *testing.T) {
	reads := 0
	r := &Readiness{mu: &sync.RWMutex{}, outages: func() uint64 { return 0 }, requestRead: func() { reads++ }}
	r.NotePeerJobCount(5, false)
	r.NotePeerJobCount(4, false) // another peer
	if peers := r.peerJobCount(); reads != 2 || peers.jobs != 5 || !r.completenessPending() {
		t.Errorf("%d reads requested, want 2; peers %+v", reads, peers)
	}
	for i, want := range []bool{true, false} {
		if missing := r.compareJobCountLocked(4, r.peerJobCount()); missing != want {
			t.Errorf("comparison %d: missing is %v", i, missing)
		}
	}
	r.NotePeerJobCount(6, false)
	if !r.compareJobCountLocked(4, r.peerJobCount()) {
		t.Error("further missing jobs are not reported")
	}
	r.compareJobCountLocked(6, r.peerJobCount())
	reads = 0
	if r.NotePeerJobCount(7, false); reads != 0 || r.completenessPending() {
		t.Error("a read is requested although the cache is complete")
	}
}
