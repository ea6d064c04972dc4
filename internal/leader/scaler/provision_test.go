package scaler

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/cloud"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// serviceDemand returns a service with count pending tasks that each take a whole machine.
func serviceDemand(count int) placement.Demand {
	spec := &jobs.Spec{ID: "j-9", Shape: jobs.Service, Tasks: count, CPUs: 4}
	return placement.Demand{Job: &placement.Job{Spec: spec, DeadlineS: placement.NoDeadline}, Count: count}
}

// Requested machines count as booting until the request returns, and booting machines after that.
// Counting neither would provision the same machine twice.
func TestProvisionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		f, _ := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			fmt.Fprint(w, `{"hosts":["m-7"]}`)
		})
		unmetDemand := []placement.Demand{serviceDemand(1)}
		f.provision(t.Context(), f.now, unmetDemand)
		f.provision(t.Context(), f.now, unmetDemand)
		synctest.Wait()
		(<-f.events)(f.now)
		f.provision(t.Context(), f.now, unmetDemand)
		synctest.Wait()
		if requests != 1 || f.provisioning.inFlight != 0 {
			t.Errorf("%d requests sent, %d in flight, want 1 and 0", requests, f.provisioning.inFlight)
		}
		if m := f.deps.State.Machines.ByID["m-7"]; m == nil || m.Phase != cluster.Booting || m.Type != "c4" {
			t.Errorf("provisioned machine: %+v", m)
		}
	})
}

// Machines of an earlier leader may not be listed yet, so provisioning is deferred, except in the
// very first term.
func TestDeferProvisioning(t *testing.T) {
	for _, tc := range []struct {
		name     string
		term     uint64
		at       float64
		requests int
	}{
		{"too early", 5, 7.9, 0},
		{"first term", 1, 1, 1},
		{"at the deferred time", 5, 8, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"hosts":["m-7"]}`) })
				f.host.term = tc.term
				f.host.unknownTasks = true // prevents releases
				f.DeferProvisioning(secondsAfter(f.now, 8))
				f.Reconcile(t.Context(), secondsAfter(f.now, tc.at), []placement.Demand{serviceDemand(1)})
				if f.provisioning.count != tc.requests {
					t.Errorf("%d provisioning requests made", f.provisioning.count)
				}
			})
		})
	}
}

// A pool without capacity is requested at growing intervals until the cloud has capacity again.
func TestCapacityBackoff(t *testing.T) {
	f, _ := newFixture(t, rejectAll(t))
	pool := autoscaler.MachinePool{Type: "c4", Zone: "a"}
	request := cloud.ProvisionRequest{MachinePool: pool, Count: 1}
	interval, maxWait := f.deps.Derived.Leader.ControlInterval, 8*f.deps.Derived.Cloud.ListLag
	var waits []time.Duration
	for range 6 {
		f.provisionDone(t.Context(), request, nil, cloud.ErrNoCapacity, f.now)
		if !f.isUnavailable(pool, f.now) {
			t.Fatal("requested again immediately")
		}
		waits = append(waits, f.provisioning.capacityBackoffs[pool].until.Sub(f.now))
	}
	if d := cmp.Diff([]time.Duration{2 * interval, 4 * interval, 8 * interval, 16 * interval, maxWait, maxWait}, waits); d != "" {
		t.Error(d)
	}
	f.provisionDone(t.Context(), request, []string{"m-7"}, nil, f.now)
	if f.isUnavailable(pool, f.now) {
		t.Error("not requested although the cloud has capacity")
	}
	f.host.silentZones["a"] = true
	if !f.isUnavailable(pool, f.now) {
		t.Error("requested in a silent zone")
	}
}

// Machines are provisioned for late batch tasks, several waves of tasks per machine, and for the
// CPUs that the arrival rate needs.
func TestBatchDemand(t *testing.T) {
	for _, tc := range []struct {
		name        string
		demand      placement.Demand
		late        int
		missingCPUs float64
		count       int
		stillCPUs   float64
	}{
		{"in time", batchDemand(100), 0, 0, 0, 0},
		{"late, one wave", batchDemand(25), 8, 0, 8, 0},
		{"late, three waves", batchDemand(45), 8, 0, 3, 0},
		{"in time, CPUs missing", batchDemand(100), 0, 5, 3, -1},
		{"more CPUs missing than its tasks use", batchDemand(100), 0, 50, 8, 34},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := newFixture(t, rejectAll(t))
			count, stillMissing := f.batchDemand(tc.demand, tc.late, tc.missingCPUs)
			if count != tc.count || stillMissing != tc.stillCPUs {
				t.Errorf("machines for %d tasks, %v CPUs still missing", count, stillMissing)
			}
		})
	}
}

// The arrival rate decays. Work that arrived earlier counts as much as if it had been counted then.
func TestArrivalRate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rate := arrivalRate{window: 100 * time.Second}
	rate.add(500, 0, start)
	if got := rate.cpusAt(start); got != 5 {
		t.Errorf("%v CPUs initially, want 5", got)
	}
	if got, want := rate.cpusAt(secondsAfter(start, 100)), 5/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("%v CPUs after one window, want %v", got, want)
	}
	newLeaderRate := arrivalRate{window: 100 * time.Second}
	newLeaderRate.add(500, 100*time.Second, secondsAfter(start, 100))
	if got, want := newLeaderRate.cpusAt(secondsAfter(start, 100)), rate.cpusAt(secondsAfter(start, 100)); math.Abs(got-want) > 1e-9 {
		t.Errorf("old work added by a new leader counts as %v CPUs, want %v", got, want)
	}
}
