package autoscaler

import (
	"maps"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// MachinesForGangs returns the IDs of the running machines that gangs need, together with machines
// that are booting, for all of their tasks. If they were released while the others boot, the gangs
// could wait indefinitely: each machine would come up after the one before it is gone. Gangs that
// would not be complete with the booting machines need none.
func MachinesForGangs(gangs []Demand, booting map[MachinePool]int, market Market) map[string]bool {
	market.OutOfCapacity = func(MachinePool) bool { return true } // only machines that exist
	plan := newScaleOutPlan(booting, market)
	for _, demand := range gangs {
		plan.placeGang(demand)
	}
	needed := make(map[string]bool, len(plan.runningFree))
	for machine := range plan.runningFree {
		needed[machine.ID] = true
	}
	return needed
}

// placeGang places all tasks of a gang, in the zone where the machines to provision for it cost
// least. If the gang is not complete in any zone, it changes nothing: machines for some of the tasks
// would only idle.
func (s *scaleOutPlan) placeGang(demand Demand) {
	var best *scaleOutPlan
	for _, zone := range s.gangZones(demand.Spec) {
		option := s.clone()
		if option.placeGangIn(demand, zone) && (best == nil || option.cheaperThan(best)) {
			best = option
		}
	}
	if best == nil {
		return
	}
	best.onlyZone = ""
	*s = *best
}

// placeGangIn places a gang in a zone, or in any zone if the name is empty. It reports whether all
// tasks have room.
func (s *scaleOutPlan) placeGangIn(demand Demand, zone string) (complete bool) {
	s.onlyZone = zone
	tasksByZone := demand.copyTasksByZone()
	remaining := s.placeOnRunning(demand, tasksByZone)
	return s.placeTasks(demand.Spec, tasksByZone, remaining) == 0
}

// placeOnRunning places tasks of a gang on running machines and returns how many do not fit.
func (s *scaleOutPlan) placeOnRunning(demand Demand, tasksByZone map[string]int) (remaining int) {
	remaining = demand.Count
	request := placement.TaskRequest(demand.Spec)
	for _, machine := range s.market.Running {
		pool := MachinePool{machine.Type, machine.Zone, machine.Spot}
		if !machine.Accepts(demand.Spec) {
			continue
		}
		free, used := s.runningFree[machine]
		if !used {
			free = machine.Free
		}
		for remaining > 0 && free.Fits(request) && s.allows(demand.Spec, pool, tasksByZone) {
			free = free.AddTimes(request, -1)
			s.runningFree[machine] = free
			tasksByZone[machine.Zone]++
			remaining--
		}
	}
	return remaining
}

// gangZones returns the zones to try for a gang that must run in a single zone. For any other gang
// it returns one empty name, which stands for all zones together.
func (s *scaleOutPlan) gangZones(spec *jobs.Spec) (zones []string) {
	if !spec.OneZone {
		return []string{""}
	}
	for i := range s.market.Types {
		for _, zone := range s.market.Types[i].Zones {
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
	}
	return zones
}

// cheaperThan reports whether a plan provisions cheaper machines than another plan for the same
// tasks. At the same price, the zone with fewer machines is preferred.
func (s *scaleOutPlan) cheaperThan(other *scaleOutPlan) bool {
	if s.price != other.price {
		return s.price < other.price
	}
	return s.machinesInZone() < other.machinesInZone()
}

// machinesInZone returns the number of machines in the zone to which the plan is restricted.
func (s *scaleOutPlan) machinesInZone() (count int) {
	for _, machines := range []map[MachinePool]int{s.market.MachineCounts, s.provisioned} {
		for pool, n := range machines {
			if pool.Zone == s.onlyZone {
				count += n
			}
		}
	}
	return count
}

func (s *scaleOutPlan) clone() *scaleOutPlan {
	clone := *s
	clone.available = maps.Clone(s.available)
	clone.provisioned = maps.Clone(s.provisioned)
	clone.runningFree = maps.Clone(s.runningFree)
	return &clone
}
