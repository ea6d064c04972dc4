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

// Leadership is not held for a moment, just when machines are to be released, and a late
// renewal restores it: they are released all the same, and those that come after them.
func TestReleaseWhileLeadershipIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		b, m := newBench(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusOK)
		})
		b.leading = false
		b.Release(t.Context(), m)
		synctest.Wait()
		(<-b.events)(b.now)
		if requests != 0 || m.Phase != cluster.Releasing || !b.deps.State.Machines.Contains(m) {
			t.Fatalf("%d requests sent without leadership, machine in phase %v", requests, m.Phase)
		}
		b.leading = true
		b.Release(t.Context()) // as each Reconcile does
		synctest.Wait()
		(<-b.events)(b.now)
		if requests != 1 || b.deps.State.Machines.Contains(m) || b.releases.inFlight || len(b.releases.waiting) > 0 {
			t.Errorf("%d requests, still known %v, waiting %v", requests, b.deps.State.Machines.Contains(m), b.releases.waiting)
		}
		if !b.WasReleased(m.ID) {
			t.Error("not remembered as released")
		}
	})
}

// What is released while a request is on its way goes into the next, and nothing is placed on
// it from then on.
func TestOneReleaseRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		b, first := newBench(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusOK)
		})
		second, third := b.addMachine("m-2", cluster.Up), b.addMachine("m-3", cluster.Up)
		b.Release(t.Context(), first)
		b.Release(t.Context(), second, first)
		b.Release(t.Context(), third)
		if d := cmp.Diff([]string{"m-1", "m-2", "m-3"}, b.host.withdrawn); d != "" {
			t.Error(d)
		}
		synctest.Wait()
		if requests != 1 {
			t.Errorf("%d requests at a time", requests)
		}
		(<-b.events)(b.now)
		synctest.Wait()
		(<-b.events)(b.now)
		if requests != 2 || len(b.deps.State.Machines.All) != 0 {
			t.Errorf("%d requests, %d machines left", requests, len(b.deps.State.Machines.All))
		}
	})
}

func TestShouldRelease(t *testing.T) {
	const bootS, idleS = 10.0, 5.0 // of the catalog's type, and half of it
	task := map[uint64]*cluster.Assignment{7: {}}
	for _, tc := range []struct {
		name    string
		machine cluster.Machine
		unknown bool    // it may have tasks that no assignment accounts for
		at      float64 // seconds after it became known
		want    bool
	}{
		{"just idle", cluster.Machine{Phase: cluster.Up}, false, idleS, false},
		{"idle for too long", cluster.Machine{Phase: cluster.Up}, false, idleS + 1, true},
		{"a spot machine is kept idle for longer", cluster.Machine{Phase: cluster.Up, Spot: true}, false, idleS + 1, false},
		{"busy", cluster.Machine{Phase: cluster.Up, Assignments: task}, false, 1000, false},
		{"may have unknown tasks", cluster.Machine{Phase: cluster.Up}, true, 1000, false},
		{"dead, whatever it may have", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Dead: true}}, true, 1, true},
		{"draining and empty", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Draining: true}}, false, 1, true},
		{"draining, with a task", cluster.Machine{Phase: cluster.Up, Health: cluster.Health{Draining: true}, Assignments: task}, false, 1, false},
		{"booting", cluster.Machine{Phase: cluster.Booting}, false, 4 * bootS, false},
		{"failed to boot in time", cluster.Machine{Phase: cluster.Booting}, false, 4*bootS + 1, true},
		{"being released", cluster.Machine{Phase: cluster.Releasing}, false, 1000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, _ := newBench(t, refuseAll(t))
			b.host.unknownTasks = tc.unknown
			m := &tc.machine
			m.ID, m.Type, m.Rental = "m-2", "c4", cluster.Rental{KnownSince: b.now, IdleSince: b.now}
			if got := b.shouldRelease(m, after(b.now, tc.at)); got != tc.want {
				t.Errorf("released: %v", got)
			}
		})
	}
}

// A machine that the list has as running may have tasks: it has a lease to report.
func TestRunningMachineHasALeaseToReport(t *testing.T) {
	b, _ := newBench(t, refuseAll(t))
	m := b.addMachine("m-2", cluster.Booting)
	listedAt := after(b.now, 39)
	m.Rental.ListedRunningSince = listedAt
	if b.shouldRelease(m, after(b.now, 50)) {
		t.Error("released before its lease could be over")
	}
	if !b.shouldRelease(m, listedAt.Add(b.deps.Derived.Workers.LeaseExpiry)) {
		t.Error("kept for ever")
	}
}

// A machine whose notice is over is released at once if it was not heard of since, and as an
// idle one not before the list can show that it is gone.
func TestReleaseAfterNotice(t *testing.T) {
	b, m := newBench(t, refuseAll(t))
	notice := after(b.now, 30)
	m.Health.NoticeUntil, m.Health.Draining = notice, true
	if b.shouldRelease(m, notice) {
		t.Error("released before its notice was over")
	}
	if !b.shouldRelease(m, notice.Add(time.Millisecond)) {
		t.Error("not released when its notice was over")
	}
	m.Worker.HeartbeatAt = after(notice, 1)
	if b.shouldRelease(m, after(notice, 2)) {
		t.Error("released though it goes on reporting")
	}
	if !b.shouldRelease(m, notice.Add(b.deps.Derived.Cloud.ListLag+time.Millisecond)) {
		t.Error("kept though the notice was never carried out")
	}
}

// A list that shows a machine which was released lately does not bring it back.
func TestListDoesNotReviveReleasedMachines(t *testing.T) {
	b, _ := newBench(t, refuseAll(t))
	b.released["m-2"] = after(b.now, 160)
	listed := []cloud.ListedMachine{{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}}
	b.ApplyList(t.Context(), listed, b.now, b.now)
	if b.deps.State.Machines.ByID["m-2"] != nil {
		t.Error("a released machine is back")
	}
	late := after(b.now, 161)
	b.ApplyList(t.Context(), listed, late, late)
	if b.deps.State.Machines.ByID["m-2"] == nil || b.WasReleased("m-2") {
		t.Error("a machine that is listed long after its release is ignored for ever")
	}
}

// A list suspects the machines that it lacks, unless they have reported since it was asked
// for, or never were in a list; one that failed is released.
func TestApplyList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		reporting, failed := b.addMachine("m-2", cluster.Up), b.addMachine("m-3", cluster.Up)
		b.addMachine("m-4", cluster.Up) // in no list
		b.ApplyList(t.Context(), []cloud.ListedMachine{
			{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}, {ID: "m-3", State: cloud.StateRunning},
		}, b.now, b.now)
		askedAt := after(b.now, 1)
		reporting.Worker.HeartbeatAt = after(askedAt, 1)
		b.ApplyList(t.Context(), []cloud.ListedMachine{{ID: "m-3", State: cloud.StateFailed}}, askedAt, after(askedAt, 2))
		if d := cmp.Diff([]string{"m-1"}, b.host.suspected); d != "" {
			t.Error(d)
		}
		if failed.Phase != cluster.Releasing {
			t.Error("a failed machine is kept")
		}
		synctest.Wait()
	})
}
