package autoscaler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// gangDemand returns a gang of one zone with four tasks, two of which fit on a small machine.
func gangDemand() Demand {
	return demandFor(4, func(s *jobs.Spec) { s.Shape, s.OneZone, s.Spot, s.Types = jobs.Gang, true, false, []string{"small"} })
}

// runningMachine returns a running machine of type small in zone b with free CPUs.
func runningMachine(id string, freeCPUs float64) *placement.Machine {
	return &placement.Machine{ID: id, Type: "small", Zone: "b", Free: placement.Resources{CPUs: freeCPUs, RAMGB: 16, HeartbeatBytes: workers.MaxListedTasksBytes}}
}

// A gang gets machines in the zone where the fewest are missing, and none if it would stay
// incomplete.
func TestPlanScaleOutForGang(t *testing.T) {
	avoided := runningMachine("m-1", 4)
	avoided.AvoidJobs = map[string]bool{"j-1": true}
	straggler := runningMachine("m-1", 4)
	straggler.Straggler = true
	for _, tc := range []struct {
		name    string
		demands []Demand
		booting map[MachinePool]int
		running []*placement.Machine
		without string // zone without capacity
		want    map[MachinePool]int
	}{
		{"no machine exists", []Demand{gangDemand()}, nil, nil, "", map[MachinePool]int{{"small", "a", false}: 2}},
		{"half runs in another zone", []Demand{gangDemand()}, nil, []*placement.Machine{runningMachine("m-1", 4)}, "",
			map[MachinePool]int{{"small", "b", false}: 1}},
		{"half boots, half runs", []Demand{gangDemand()}, map[MachinePool]int{{"small", "b", false}: 1},
			[]*placement.Machine{runningMachine("m-1", 4)}, "", map[MachinePool]int{}},
		{"halves in different zones", []Demand{gangDemand()}, map[MachinePool]int{{"small", "a", false}: 1},
			[]*placement.Machine{runningMachine("m-1", 4)}, "a", map[MachinePool]int{{"small", "b", false}: 1}},
		{"two gangs share no machine", []Demand{gangDemand(), gangDemand()}, map[MachinePool]int{{"small", "b", false}: 1},
			[]*placement.Machine{runningMachine("m-1", 4)}, "", map[MachinePool]int{{"small", "a", false}: 2}},
		{"half boots where there is no capacity", []Demand{gangDemand()}, map[MachinePool]int{{"small", "b", false}: 1}, nil, "b",
			map[MachinePool]int{{"small", "a", false}: 2}},
		{"the running machine failed the job before", []Demand{gangDemand()}, nil, []*placement.Machine{avoided}, "a",
			map[MachinePool]int{{"small", "b", false}: 2}},
		{"the running machine is a straggler", []Demand{gangDemand()}, nil, []*placement.Machine{straggler}, "a",
			map[MachinePool]int{{"small", "b", false}: 2}},
		{"the job names a zone without capacity", []Demand{func() Demand {
			demand := gangDemand()
			demand.Spec.Zone = "a"
			return demand
		}()}, nil, []*placement.Machine{runningMachine("m-1", 4)}, "a", map[MachinePool]int{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := PlanScaleOut(tc.demands, tc.booting, Market{
				Types: market, Running: tc.running, OutOfCapacity: func(pool MachinePool) bool { return pool.Zone == tc.without },
			})
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("(-want +got):\n%s", d)
			}
		})
	}
}

// Running machines are needed only if booting ones complete the gang.
func TestMachinesForGangs(t *testing.T) {
	for _, tc := range []struct {
		name    string
		booting map[MachinePool]int
		want    map[string]bool
	}{
		{"the rest boots", map[MachinePool]int{{"small", "b", false}: 1}, map[string]bool{"m-1": true}},
		{"the rest boots in another zone", map[MachinePool]int{{"small", "a", false}: 1}, map[string]bool{}},
		{"all of it boots elsewhere", map[MachinePool]int{{"small", "a", false}: 2}, map[string]bool{}},
		{"nothing boots", nil, map[string]bool{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := MachinesForGangs([]Demand{gangDemand()}, tc.booting, Market{
				Types: market, Running: []*placement.Machine{runningMachine("m-1", 4), runningMachine("m-2", 1)},
			})
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("(-want +got):\n%s", d)
			}
		})
	}
}
