package autoscaler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
)

var market = []jobs.MachineType{
	{Name: "small", CPUs: 4, RAMGB: 16, Price: 0.2, SpotPrice: 0.08, Zones: []string{"a", "b"}},
	{Name: "large", CPUs: 16, RAMGB: 64, Price: 0.7, SpotPrice: 0.3, Zones: []string{"a"}},
}

func demandFor(count int, change func(*jobs.Spec)) Demand {
	s := &jobs.Spec{ID: "j-1", Tasks: count, CPUs: 2, RAMGB: 4, Spot: true}
	if change != nil {
		change(s)
	}
	return Demand{Spec: s, Count: count}
}

func TestPlanScaleOut(t *testing.T) {
	never := func(MachinePool) bool { return false }
	for _, tc := range []struct {
		name          string
		demands       []Demand
		booting       map[MachinePool]int
		outOfCapacity func(MachinePool) bool
		want          map[MachinePool]int
	}{
		{"one task: lowest price per machine", []Demand{demandFor(1, nil)}, nil, never,
			map[MachinePool]int{{"small", "a", true}: 1}},
		{"many tasks: lowest price per task", []Demand{demandFor(8, nil)}, nil, never,
			map[MachinePool]int{{"large", "a", true}: 1}},
		{"spot machines not allowed", []Demand{demandFor(1, func(s *jobs.Spec) { s.Spot = false })}, nil, never,
			map[MachinePool]int{{"small", "a", false}: 1}},
		{"booting machines are used first", []Demand{demandFor(3, nil)},
			map[MachinePool]int{{"small", "b", true}: 1}, never,
			map[MachinePool]int{{"small", "a", true}: 1}},
		{"pools out of capacity are skipped", []Demand{demandFor(1, nil)}, nil,
			func(pool MachinePool) bool { return pool.Spot && pool.Zone == "a" },
			map[MachinePool]int{{"small", "b", true}: 1}},
		{"replicas spread over two zones", []Demand{demandFor(2, func(s *jobs.Spec) { s.Spread, s.Spot = true, false })}, nil, never,
			map[MachinePool]int{{"small", "a", false}: 1, {"small", "b", false}: 1}},
		{"no machine type allowed", []Demand{demandFor(1, func(s *jobs.Spec) { s.Types = []string{"huge"} })}, nil, never,
			map[MachinePool]int{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := PlanScaleOut(tc.demands, tc.booting, Market{Types: market, OutOfCapacity: tc.outOfCapacity})
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("(-want +got):\n%s", d)
			}
		})
	}
}
