package scaler

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// An idle machine is kept while a gang waits for another one to boot, and released once the gang
// does not wait any more.
func TestIdleMachineKeptForGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		released := 0
		f, idle := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/rentals/release" {
				t.Errorf("unexpected request to the cloud: %s", r.URL.Path)
			}
			released++
			w.WriteHeader(http.StatusOK)
		})
		idle.Offer.Type, idle.Offer.Zone, idle.Offer.Free = idle.Type, idle.Zone, placement.Resources{CPUs: 4, RAMGB: 8, HeartbeatBytes: workers.MaxListedTasksBytes}
		f.addMachine("m-2", cluster.Booting)
		spec := &jobs.Spec{ID: "j-9", Shape: jobs.Gang, Tasks: 4, CPUs: 2, OneZone: true}
		gang := placement.Demand{Job: &placement.Job{Spec: spec, DeadlineS: placement.NoDeadline}, Count: 4}
		idleLong := f.now.Add(8 * time.Second)
		f.Reconcile(t.Context(), idleLong, []placement.Demand{gang})
		synctest.Wait()
		if released != 0 || idle.Phase != cluster.Up {
			t.Errorf("%d releases while the gang waits, machine in phase %v", released, idle.Phase)
		}
		f.Reconcile(t.Context(), idleLong, nil)
		synctest.Wait()
		if released != 1 || idle.Phase != cluster.Releasing {
			t.Errorf("%d releases without the gang, machine in phase %v", released, idle.Phase)
		}
	})
}
