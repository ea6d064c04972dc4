package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
)

// planReservation makes a plan for a gang of two tasks in one zone, of which one fits, and returns the
// gang's demand.
func planReservation(t *testing.T) Demand {
	t.Helper()
	free, busy := newMachine("a1", 2), newMachine("a2", 4)
	addRunningTask(busy, newJob("j-1", 1, 4, nil), 0, 5)
	gang := newJob("j-2", 2, 2, func(s *jobs.Spec) { s.Shape, s.OneZone = jobs.Gang, true })
	gang.ReserveRoom = true
	input := Input{Index: &CapacityIndex{}, Jobs: []*Job{gang}, UsedByTeam: map[string]Resources{}}
	input.Index.Insert(free)
	input.Index.Insert(busy)
	output := Plan(input)
	if len(output.Assignments) != 0 || len(output.Unmet) != 1 {
		t.Fatalf("%d assignments and %d demands, want one demand only", len(output.Assignments), len(output.Unmet))
	}
	return output.Unmet[0]
}

// TestReservationPlacesNoTask guards against scale-out that provisions too little for a gang because
// it takes reserved capacity for tasks that the zone already has.
func TestReservationPlacesNoTask(t *testing.T) {
	demand := planReservation(t)
	for zone, tasks := range demand.Job.TasksByZone {
		if tasks != 0 {
			t.Errorf("%d tasks counted in zone %s, but none is placed", tasks, zone)
		}
	}
}

// TestReservedMachinesAreNamed guards against the release of idle machines that are reserved for a
// gang: the plan names both the machine with room and the one that will have room.
func TestReservedMachinesAreNamed(t *testing.T) {
	var reserved []string
	for _, machine := range planReservation(t).Job.Reserved {
		reserved = append(reserved, machine.ID)
	}
	if d := cmp.Diff([]string{"a1", "a2"}, reserved); d != "" {
		t.Errorf("(-want +got):\n%s", d)
	}
}
