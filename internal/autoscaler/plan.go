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

// room is what is free on machines that will take work once they are up. Most of
// them are alike, so that they are counted, not listed.
type room struct {
	MachinePool
	free placement.Resources
}

// PlanScaleOut returns what to rent: each need goes to the machines that are coming
// first and, for the rest, to the kind that costs least for each of its tasks.
func PlanScaleOut(needs []Demand, coming map[MachinePool]int, mk Market) map[MachinePool]int {
	rooms := map[room]int{}
	for k, n := range coming {
		if t := typeOf(k, mk.Types); t != nil && n > 0 {
			rooms[room{k, amount(*t)}] += n
		}
	}
	rent := map[MachinePool]int{}
	for _, n := range needs {
		zones := map[string]int{}
		for z, c := range n.TasksByZone {
			zones[z] = c
		}
		for left := n.Count; left > 0; left-- {
			r, ok := pick(n.Spec, zones, rooms)
			if !ok {
				t, k, ok := cheapest(n.Spec, zones, left, rent, mk)
				if !ok {
					break
				}
				rent[k]++
				r = room{k, amount(t)}
				rooms[r]++
			}
			if rooms[r]--; rooms[r] == 0 {
				delete(rooms, r)
			}
			rooms[room{r.MachinePool, r.free.AddTimes(placement.TaskRequest(n.Spec), -1)}]++
			zones[r.Zone]++
		}
	}
	return rent
}

func amount(t jobs.MachineType) placement.Resources {
	return placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}
}

func typeOf(k MachinePool, types []jobs.MachineType) *jobs.MachineType {
	for i := range types {
		if types[i].Name == k.Type {
			return &types[i]
		}
	}
	return nil
}

// pick returns the fullest room for a task.
func pick(s *jobs.Spec, zones map[string]int, rooms map[room]int) (best room, found bool) {
	for r := range rooms {
		if !s.Allows(r.Type, r.Zone, r.Spot) || !r.free.Fits(placement.TaskRequest(s)) || !placement.TopologyAllows(s, zones, r.Zone) {
			continue
		}
		if !found || cmp.Or(
			cmp.Compare(r.free.CPUs, best.free.CPUs), cmp.Compare(r.free.RAMGB, best.free.RAMGB),
			cmp.Compare(r.Type, best.Type), cmp.Compare(r.Zone, best.Zone), first(r.Spot, best.Spot)) < 0 {
			best, found = r, true
		}
	}
	return best, found
}

func cheapest(s *jobs.Spec, zones map[string]int, left int, rent map[MachinePool]int, mk Market) (jobs.MachineType, MachinePool, bool) {
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
				o := option{t, k, price / float64(min(left, fit(t, s))), rent[k]%MaxMachinesPerRequest != 0, mk.MachineCounts[k] + rent[k]}
				if best == nil || cmp.Or(cmp.Compare(o.price, best.price), first(o.begun, best.begun), cmp.Compare(o.have, best.have)) < 0 {
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

// fit is how many of a job's tasks an empty machine takes.
func fit(t jobs.MachineType, s *jobs.Spec) int {
	room, n := amount(t), 0
	for room.Fits(placement.TaskRequest(s)) && n < jobs.MaxTasks {
		room = room.AddTimes(placement.TaskRequest(s), -1)
		n++
	}
	return max(n, 1)
}

// LargestFirst returns the kinds in a fixed order, those of which most are wanted first.
func LargestFirst(rent map[MachinePool]int) []MachinePool {
	kinds := make([]MachinePool, 0, len(rent))
	for k := range rent {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b MachinePool) int {
		return cmp.Or(cmp.Compare(rent[b], rent[a]), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), first(a.Spot, b.Spot))
	})
	return kinds
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
