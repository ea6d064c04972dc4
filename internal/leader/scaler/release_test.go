package scaler

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/leader/cluster"
)

// Leadership is briefly not held while a release is requested, and a late renewal restores it. The
// machines must still be released, and so must later ones.
func TestReleaseWhileLeadershipIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		f, m := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusOK)
		})
		f.isLeader = false
		f.Release(t.Context(), m)
		synctest.Wait()
		(<-f.events)(f.now)
		if requests != 0 || m.Phase != cluster.Releasing || !f.deps.State.Machines.Contains(m) {
			t.Fatalf("%d requests sent without leadership, machine in phase %v", requests, m.Phase)
		}
		f.isLeader = true
		f.Release(t.Context()) // as each Reconcile does
		synctest.Wait()
		(<-f.events)(f.now)
		if requests != 1 || f.deps.State.Machines.Contains(m) || f.releases.inFlight || len(f.releases.waiting) > 0 {
			t.Errorf("%d requests sent, machine still known: %v, queued: %v", requests, f.deps.State.Machines.Contains(m), f.releases.waiting)
		}
		if !f.WasReleased(m.ID) {
			t.Error("not remembered as released")
		}
	})
}

// Machines released while a request is in flight go into the next request, and are withdrawn from
// placement at once.
func TestOneReleaseRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		f, first := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusOK)
		})
		second, third := f.addMachine("m-2", cluster.Up), f.addMachine("m-3", cluster.Up)
		f.Release(t.Context(), first)
		f.Release(t.Context(), second, first)
		f.Release(t.Context(), third)
		if d := cmp.Diff([]string{"m-1", "m-2", "m-3"}, f.host.withdrawn); d != "" {
			t.Error(d)
		}
		synctest.Wait()
		if requests != 1 {
			t.Errorf("%d concurrent requests, want 1", requests)
		}
		(<-f.events)(f.now)
		synctest.Wait()
		(<-f.events)(f.now)
		if requests != 2 || len(f.deps.State.Machines.All) != 0 {
			t.Errorf("%d requests sent, %d machines left", requests, len(f.deps.State.Machines.All))
		}
	})
}

func TestShouldRelease(t *testing.T) {
	const bootS, idleS = 10.0, 5.0 // boot time of the catalog's type, and half of it
	task := map[uint64]*cluster.Assignment{7: {}}
	for _, tc := range []struct {
		name    string
		machine cluster.Machine
		unknown bool    // it may have tasks without an assignment
		at      float64 // seconds after it became known
		want    bool
	}{
		{"just idle", cluster.Machine{Phase: cluster.Up}, false, idleS, false},
		{"idle for too long", cluster.Machine{Phase: cluster.Up}, false, idleS + 1, true},
		{"idle spot machine is kept longer", cluster.Machine{Phase: cluster.Up, Spot: true}, false, idleS + 1, false},
		{"busy", cluster.Machine{Phase: cluster.Up, Assignments: task}, false, 1000, false},
		{"may have unknown tasks", cluster.Machine{Phase: cluster.Up}, true, 1000, false},
		{"dead, may have unknown tasks", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Dead: true}}, true, 1, true},
		{"draining and empty", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Draining: true}}, false, 1, true},
		{"draining with a task", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Draining: true}, Assignments: task}, false, 1, false},
		{"booting", cluster.Machine{Phase: cluster.Booting}, false, 4 * bootS, false},
		{"failed to boot in time", cluster.Machine{Phase: cluster.Booting}, false, 4*bootS + 1, true},
		{"being released", cluster.Machine{Phase: cluster.Releasing}, false, 1000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := newFixture(t, rejectAll(t))
			f.host.unknownTasks = tc.unknown
			m := &tc.machine
			m.ID, m.Type, m.Cloud = "m-2", "c4", cluster.CloudState{KnownSince: f.now, IdleSince: f.now}
			if got := f.shouldRelease(m, secondsAfter(f.now, tc.at)); got != tc.want {
				t.Errorf("shouldRelease = %v", got)
			}
		})
	}
}

// A machine that is listed as running may have tasks, so it gets the time of a lease to report.
func TestListedRunningMachineGetsLeaseToReport(t *testing.T) {
	f, _ := newFixture(t, rejectAll(t))
	m := f.addMachine("m-2", cluster.Booting)
	listedAt := secondsAfter(f.now, 39)
	m.Cloud.ListedRunningSince = listedAt
	if f.shouldRelease(m, secondsAfter(f.now, 50)) {
		t.Error("released before its lease could have expired")
	}
	if !f.shouldRelease(m, listedAt.Add(f.deps.Derived.Workers.LeaseExpiry)) {
		t.Error("not released after its lease must have expired")
	}
}

// A machine is released when its notice period ends if it has not reported since. If it goes on
// reporting, it is released as idle only once the list could show that it is gone.
func TestReleaseAfterNotice(t *testing.T) {
	f, m := newFixture(t, rejectAll(t))
	notice := secondsAfter(f.now, 30)
	m.Health.ReclaimAt, m.Health.Draining = notice, true
	if f.shouldRelease(m, notice) {
		t.Error("released before its notice period ended")
	}
	if !f.shouldRelease(m, notice.Add(time.Millisecond)) {
		t.Error("not released when its notice period ended")
	}
	m.Worker.HeartbeatAt = secondsAfter(notice, 1)
	if f.shouldRelease(m, secondsAfter(notice, 2)) {
		t.Error("released although it continues to report")
	}
	if !f.shouldRelease(m, notice.Add(f.deps.Derived.Cloud.ListLag+time.Millisecond)) {
		t.Error("not released although it was never reclaimed")
	}
}

// A list must not bring back a machine that was released recently.
func TestListDoesNotReviveReleasedMachines(t *testing.T) {
	f, _ := newFixture(t, rejectAll(t))
	f.released["m-2"] = secondsAfter(f.now, 160)
	listed := []cloud.ListedMachine{{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}}
	f.ApplyList(t.Context(), listed, f.now, f.now)
	if f.deps.State.Machines.ByID["m-2"] != nil {
		t.Error("a released machine was added again")
	}
	late := secondsAfter(f.now, 161)
	f.ApplyList(t.Context(), listed, late, late)
	if f.deps.State.Machines.ByID["m-2"] == nil || f.WasReleased("m-2") {
		t.Error("a machine listed long after its release is still ignored")
	}
}

// A list suspects the machines missing from it, unless they have reported since it was requested or
// were never listed. A machine listed as failed is released.
func TestApplyList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		reporting, failed := f.addMachine("m-2", cluster.Up), f.addMachine("m-3", cluster.Up)
		f.addMachine("m-4", cluster.Up) // never listed
		f.ApplyList(t.Context(), []cloud.ListedMachine{
			{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}, {ID: "m-3", State: cloud.StateRunning},
		}, f.now, f.now)
		askedAt := secondsAfter(f.now, 1)
		reporting.Worker.HeartbeatAt = secondsAfter(askedAt, 1)
		f.ApplyList(t.Context(), []cloud.ListedMachine{{ID: "m-3", State: cloud.StateFailed}}, askedAt, secondsAfter(askedAt, 2))
		if d := cmp.Diff([]string{"m-1"}, f.host.suspected); d != "" {
			t.Error(d)
		}
		if failed.Phase != cluster.Releasing {
			t.Error("a failed machine was not released")
		}
		synctest.Wait()
	})
}
