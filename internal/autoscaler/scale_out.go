package autoscaler

import (
	"cmp"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Demand is work without a machine.
type Demand struct {
	Spec        *jobs.Spec
	TasksByZone map[string]int // the job's tasks by zone
	Count       int
}

// Market is what the planner may choose from.
type Market struct {
	Types         []jobs.MachineType
	MachineCounts map[MachinePool]int      // machines by kind, to spread them over zones
	OutOfCapacity func(k MachinePool) bool // no capacity a short while ago
}

// capacity is what is free on machines that will take work once they are up. Most of
// them are alike, so that they are counted, not listed.
type capacity struct {
	MachinePool
	free placement.Resources
}

// PlanScaleOut returns what to rent: each need goes to the machines that are coming
// first and, for the rest, to the kind that costs least for each of its tasks.
func PlanScaleOut(demands []Demand, booting map[MachinePool]int, market Market) map[MachinePool]int {
	available := map[capacity]int{}
	for k, n := range booting {
		if t := findType(k, market.Types); t != nil && n > 0 {
			available[capacity{k, machineResources(*t)}] += n
		}
	}
	scaleOut := map[MachinePool]int{}
	for _, n := range demands {
		zones := map[string]int{}
		for z, c := range n.TasksByZone {
			zones[z] = c
		}
		for left := n.Count; left > 0; left-- {
			r, ok := fullestFit(n.Spec, zones, available)
			if !ok {
				t, k, ok := cheapestPool(n.Spec, zones, left, scaleOut, market)
				if !ok {
					break
				}
				scaleOut[k]++
				r = capacity{k, machineResources(t)}
				available[r]++
			}
			if available[r]--; available[r] == 0 {
				delete(available, r)
			}
			available[capacity{r.MachinePool, r.free.AddTimes(placement.TaskRequest(n.Spec), -1)}]++
			zones[r.Zone]++
		}
	}
	return scaleOut
}

func machineResources(machineType jobs.MachineType) placement.Resources {
	return placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAMGB: machineType.RAMGB}
}

func findType(pool MachinePool, types []jobs.MachineType) *jobs.MachineType {
	for i := range types {
		if types[i].Name == pool.Type {
			return &types[i]
		}
	}
	return nil
}

// fullestFit returns the fullest room for a task.
func fullestFit(spec *jobs.Spec, tasksByZone map[string]int, available map[capacity]int) (best capacity, found bool) {
	for candidate := range available {
		if !spec.Allows(candidate.Type, candidate.Zone, candidate.Spot) || !candidate.free.Fits(placement.TaskRequest(spec)) || !placement.TopologyAllows(spec, tasksByZone, candidate.Zone) {
			continue
		}
		if !found || cmp.Or(
			cmp.Compare(candidate.free.CPUs, best.free.CPUs), cmp.Compare(candidate.free.RAMGB, best.free.RAMGB),
			cmp.Compare(candidate.Type, best.Type), cmp.Compare(candidate.Zone, best.Zone), falseFirst(candidate.Spot, best.Spot)) < 0 {
			best, found = candidate, true
		}
	}
	return best, found
}

func cheapestPool(s *jobs.Spec, zones map[string]int, left int, rent map[MachinePool]int, mk Market) (jobs.MachineType, MachinePool, bool) {
	type option struct {
		t     jobs.MachineType
		k     MachinePool
		price float64
		begun bool
		have  int
	}
	var best *option
	for _, t := range mk.Types {
		if !t.Fits(s) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := MachinePool{t.Name, zone, spot}
				if !s.Allows(t.Name, zone, spot) || !placement.TopologyAllows(s, zones, zone) || mk.OutOfCapacity(k) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				// The cloud's calls are scarce: what one request can bring is not
				// spread over several. The next request goes to another zone.
				o := option{t, k, price / float64(min(left, tasksPerMachine(t, s))), rent[k]%MaxMachinesPerRequest != 0, mk.MachineCounts[k] + rent[k]}
				if best == nil || cmp.Or(cmp.Compare(o.price, best.price), falseFirst(o.begun, best.begun), cmp.Compare(o.have, best.have)) < 0 {
					best = &o
				}
			}
		}
	}
	if best == nil {
		return jobs.MachineType{}, MachinePool{}, false
	}
	return best.t, best.k, true
}

// tasksPerMachine is how many of a job's tasks an empty machine takes.
func tasksPerMachine(machineType jobs.MachineType, spec *jobs.Spec) int {
	free, count := machineResources(machineType), 0
	for free.Fits(placement.TaskRequest(spec)) && count < jobs.MaxTasks {
		free = free.AddTimes(placement.TaskRequest(spec), -1)
		count++
	}
	return max(count, 1)
}

// LargestFirst returns the kinds in a fixed order, those of which most are wanted first.
func LargestFirst(rent map[MachinePool]int) []MachinePool {
	kinds := make([]MachinePool, 0, len(rent))
	for k := range rent {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b MachinePool) int {
		return cmp.Or(cmp.Compare(rent[b], rent[a]), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), falseFirst(a.Spot, b.Spot))
	})
	return kinds
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
