package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Demand is a number of tasks of one job for which machines are to be provisioned.
type Demand struct {
	Spec        *jobs.Spec
	TasksByZone map[string]int // tasks that the job already has in each zone; not modified
	Count       int
}

// Market describes the machines that a plan may provision.
type Market struct {
	Types         []jobs.MachineType
	MachineCounts map[MachinePool]int         // existing machines, so that new ones are spread over zones
	OutOfCapacity func(pool MachinePool) bool // reports whether the cloud recently had no machine of the pool
	// Running lists the machines that accept tasks, in the order in which gangs use them. Only gangs
	// can have unplaced tasks that fit there: any other task would have been placed already.
	Running []*placement.Machine
}

// PlanScaleOut returns how many machines of each pool to provision. It places the tasks of the
// demands in order: each goes to a booting machine if one has room, otherwise to a machine that
// the plan already provisions, and otherwise to a new machine of the pool with the lowest price
// per task of its job. Tasks of gangs first go to running machines. Demands that no pool can serve
// are left out, as are gangs that would not be complete.
func PlanScaleOut(demands []Demand, booting map[MachinePool]int, market Market) map[MachinePool]int {
	plan := newScaleOutPlan(booting, market)
	for _, demand := range demands {
		if demand.Spec.Shape == jobs.Gang {
			plan.placeGang(demand)
			continue
		}
		plan.placeTasks(demand.Spec, demand.copyTasksByZone(), demand.Count)
	}
	return plan.provisioned
}

func (d Demand) copyTasksByZone() map[string]int {
	tasksByZone := make(map[string]int, len(d.TasksByZone)+1)
	maps.Copy(tasksByZone, d.TasksByZone)
	return tasksByZone
}

// PoolsLargestFirst returns the pools of a plan in a deterministic order, those with the most
// machines first.
func PoolsLargestFirst(plan map[MachinePool]int) []MachinePool {
	pools := make([]MachinePool, 0, len(plan))
	for pool := range plan {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b MachinePool) int {
		return cmp.Or(cmp.Compare(plan[b], plan[a]), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), falseFirst(a.Spot, b.Spot))
	})
	return pools
}

// scaleOutPlan is a plan under construction.
type scaleOutPlan struct {
	market      Market
	available   map[capacity]int // machines that are booting or to be provisioned, counted by capacity
	provisioned map[MachinePool]int
	price       float64 // of the machines to be provisioned, per hour

	runningFree map[*placement.Machine]placement.Resources // what gangs leave free on the running machines that they use
	onlyZone    string                                     // if set, machines of other zones are skipped
}

// capacity identifies machines of one pool with the same free resources. Most machines are alike,
// so they are counted by capacity rather than listed.
type capacity struct {
	MachinePool
	free placement.Resources
}

func newScaleOutPlan(booting map[MachinePool]int, market Market) *scaleOutPlan {
	s := &scaleOutPlan{
		market: market, available: map[capacity]int{}, provisioned: map[MachinePool]int{},
		runningFree: map[*placement.Machine]placement.Resources{},
	}
	for pool, count := range booting {
		if machineType := findType(pool.Type, market.Types); machineType != nil && count > 0 {
			s.available[capacity{pool, placement.MachineTotal(machineType)}] += count
		}
	}
	return s
}

// placeTasks places up to count tasks of a job on machines that are booting or to be provisioned, and
// returns how many do not fit.
func (s *scaleOutPlan) placeTasks(spec *jobs.Spec, tasksByZone map[string]int, count int) (unplaced int) {
	for ; count > 0; count-- {
		machine, ok := s.tightestFit(spec, tasksByZone)
		if !ok {
			if machine, ok = s.provision(spec, tasksByZone, count); !ok {
				return count
			}
		}
		s.placeTask(spec, machine)
		tasksByZone[machine.Zone]++
	}
	return 0
}

// allows reports whether one more task of a job may run on machines of a pool.
func (s *scaleOutPlan) allows(spec *jobs.Spec, pool MachinePool, tasksByZone map[string]int) bool {
	return spec.Allows(pool.Type, pool.Zone, pool.Spot) && (s.onlyZone == "" || s.onlyZone == pool.Zone) &&
		placement.TopologyAllows(spec, tasksByZone, pool.Zone)
}

// tightestFit returns the machine with the least free resources on which a task fits.
func (s *scaleOutPlan) tightestFit(spec *jobs.Spec, tasksByZone map[string]int) (best capacity, found bool) {
	request := placement.TaskRequest(spec)
	for candidate := range s.available {
		if !candidate.free.Fits(request) || !s.allows(spec, candidate.MachinePool, tasksByZone) {
			continue
		}
		if !found || compareCapacity(candidate, best) < 0 {
			best, found = candidate, true
		}
	}
	return best, found
}

// compareCapacity orders machines by free resources, the fullest first.
func compareCapacity(a, b capacity) int {
	return cmp.Or(
		cmp.Compare(a.free.CPUs, b.free.CPUs),
		cmp.Compare(a.free.RAMGB, b.free.RAMGB),
		cmp.Compare(a.Type, b.Type),
		cmp.Compare(a.Zone, b.Zone),
		falseFirst(a.Spot, b.Spot),
	)
}

// placeTask subtracts a task's request from the free resources of a machine.
func (s *scaleOutPlan) placeTask(spec *jobs.Spec, machine capacity) {
	if s.available[machine]--; s.available[machine] == 0 {
		delete(s.available, machine)
	}
	s.available[capacity{machine.MachinePool, machine.free.AddTimes(placement.TaskRequest(spec), -1)}]++
}

// provision adds a machine of the pool with the lowest price per task for a job with the given
// number of tasks remaining. ok is false if no pool allows the job.
func (s *scaleOutPlan) provision(spec *jobs.Spec, tasksByZone map[string]int, remaining int) (machine capacity, ok bool) {
	var best poolOption
	for i := range s.market.Types {
		machineType := &s.market.Types[i]
		if !machineType.Fits(spec) {
			continue
		}
		tasks := min(remaining, tasksPerMachine(machineType, spec))
		for _, pool := range poolsOf(machineType) {
			if !s.allows(spec, pool, tasksByZone) || s.market.OutOfCapacity(pool) {
				continue
			}
			if option := s.option(machineType, pool, tasks); !ok || option.compare(best) < 0 {
				best, ok = option, true
			}
		}
	}
	if !ok {
		return machine, false
	}
	s.provisioned[best.pool]++
	s.price += best.price
	machine = capacity{best.pool, placement.MachineTotal(best.machineType)}
	s.available[machine]++
	return machine, true
}

// poolOption is a pool from which a machine could be provisioned.
type poolOption struct {
	pool              MachinePool
	machineType       *jobs.MachineType
	price             float64 // price of a machine per hour
	pricePerTask      float64 // price of a machine per task that it would run
	hasPartialRequest bool    // the last planned request for the pool asks for fewer than MaxMachinesPerRequest
	machineCount      int     // machines that exist or are to be provisioned
}

func (s *scaleOutPlan) option(machineType *jobs.MachineType, pool MachinePool, tasks int) poolOption {
	price := machineType.Price
	if pool.Spot {
		price = machineType.SpotPrice
	}
	return poolOption{
		pool:              pool,
		machineType:       machineType,
		price:             price,
		pricePerTask:      price / float64(tasks),
		hasPartialRequest: s.provisioned[pool]%MaxMachinesPerRequest != 0,
		machineCount:      s.market.MachineCounts[pool] + s.provisioned[pool],
	}
}

// compare orders options by price per task. At the same price, a pool without a partly filled
// request comes first, then the pool with the fewest machines, which spreads new machines over
// the zones.
func (o poolOption) compare(other poolOption) int {
	return cmp.Or(
		cmp.Compare(o.pricePerTask, other.pricePerTask),
		falseFirst(o.hasPartialRequest, other.hasPartialRequest),
		cmp.Compare(o.machineCount, other.machineCount),
	)
}

// poolsOf returns the pools of a machine type: one per zone and pricing model.
func poolsOf(machineType *jobs.MachineType) []MachinePool {
	pools := make([]MachinePool, 0, 2*len(machineType.Zones))
	for _, zone := range machineType.Zones {
		for _, spot := range []bool{false, true} {
			pools = append(pools, MachinePool{machineType.Name, zone, spot})
		}
	}
	return pools
}

// tasksPerMachine returns how many of a job's tasks fit on an empty machine, at least 1.
func tasksPerMachine(machineType *jobs.MachineType, spec *jobs.Spec) int {
	free, request, count := placement.MachineTotal(machineType), placement.TaskRequest(spec), 0
	for free.Fits(request) && count < jobs.MaxTasks {
		free = free.AddTimes(request, -1)
		count++
	}
	return max(count, 1)
}

func findType(name string, types []jobs.MachineType) *jobs.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// falseFirst compares two booleans, sorting false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
