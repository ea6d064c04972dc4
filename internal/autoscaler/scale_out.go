package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Demand is a number of a job's tasks for which machines are to be provisioned.
type Demand struct {
	Spec        *jobs.Spec
	TasksByZone map[string]int // tasks that the job has already; not changed
	Count       int
}

// Market is what a plan may choose from.
type Market struct {
	Types         []jobs.MachineType
	MachineCounts map[MachinePool]int         // machines there are, to spread new ones over zones
	OutOfCapacity func(pool MachinePool) bool // the cloud had none a short while ago
}

// PlanScaleOut returns how many machines of which pool to provision. Each task of the demands,
// in their order, goes to a booting machine if one has room, then to one that is to be
// provisioned already, and for the rest to one of the pool that costs least for each task of
// its job. A demand that no pool can serve is left out.
func PlanScaleOut(demands []Demand, booting map[MachinePool]int, market Market) map[MachinePool]int {
	plan := newScaleOut(booting, market)
	for _, demand := range demands {
		tasksByZone := make(map[string]int, len(demand.TasksByZone)+1)
		maps.Copy(tasksByZone, demand.TasksByZone)
		for left := demand.Count; left > 0; left-- {
			machine, ok := plan.fullestFit(demand.Spec, tasksByZone)
			if !ok {
				if machine, ok = plan.provision(demand.Spec, tasksByZone, left); !ok {
					break
				}
			}
			plan.placeTask(demand.Spec, machine)
			tasksByZone[machine.Zone]++
		}
	}
	return plan.provisioned
}

// LargestFirst returns the pools of a plan in a fixed order, those with most machines first.
func LargestFirst(plan map[MachinePool]int) []MachinePool {
	pools := make([]MachinePool, 0, len(plan))
	for pool := range plan {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b MachinePool) int {
		return cmp.Or(cmp.Compare(plan[b], plan[a]), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), falseFirst(a.Spot, b.Spot))
	})
	return pools
}

// scaleOut is a plan in the making.
type scaleOut struct {
	market      Market
	available   map[capacity]int // machines that boot or are to be provisioned
	provisioned map[MachinePool]int
}

// capacity is what is free on a machine. Most machines are alike, so that they are counted by
// it, not listed.
type capacity struct {
	MachinePool
	free placement.Resources
}

func newScaleOut(booting map[MachinePool]int, market Market) *scaleOut {
	s := &scaleOut{market: market, available: map[capacity]int{}, provisioned: map[MachinePool]int{}}
	for pool, count := range booting {
		if machineType := findType(pool.Type, market.Types); machineType != nil && count > 0 {
			s.available[capacity{pool, placement.MachineTotal(machineType)}] += count
		}
	}
	return s
}

// fullestFit returns the machine with the least room in which a task fits.
func (s *scaleOut) fullestFit(spec *jobs.Spec, tasksByZone map[string]int) (best capacity, found bool) {
	request := placement.TaskRequest(spec)
	for candidate := range s.available {
		if !spec.Allows(candidate.Type, candidate.Zone, candidate.Spot) || !candidate.free.Fits(request) ||
			!placement.TopologyAllows(spec, tasksByZone, candidate.Zone) {
			continue
		}
		if !found || compareCapacity(candidate, best) < 0 {
			best, found = candidate, true
		}
	}
	return best, found
}

// compareCapacity orders machines by what is free on them, the fullest first.
func compareCapacity(a, b capacity) int {
	return cmp.Or(
		cmp.Compare(a.free.CPUs, b.free.CPUs),
		cmp.Compare(a.free.RAMGB, b.free.RAMGB),
		cmp.Compare(a.Type, b.Type),
		cmp.Compare(a.Zone, b.Zone),
		falseFirst(a.Spot, b.Spot),
	)
}

// placeTask takes a task's request off what is free on a machine.
func (s *scaleOut) placeTask(spec *jobs.Spec, machine capacity) {
	if s.available[machine]--; s.available[machine] == 0 {
		delete(s.available, machine)
	}
	s.available[capacity{machine.MachinePool, machine.free.AddTimes(placement.TaskRequest(spec), -1)}]++
}

// provision adds a machine of the pool that costs least for a job with so many tasks left, if
// any pool allows the job.
func (s *scaleOut) provision(spec *jobs.Spec, tasksByZone map[string]int, left int) (machine capacity, ok bool) {
	var best poolOption
	for i := range s.market.Types {
		machineType := &s.market.Types[i]
		if !machineType.Fits(spec) {
			continue
		}
		tasks := min(left, tasksPerMachine(machineType, spec))
		for _, pool := range poolsOf(machineType) {
			if !spec.Allows(pool.Type, pool.Zone, pool.Spot) || !placement.TopologyAllows(spec, tasksByZone, pool.Zone) || s.market.OutOfCapacity(pool) {
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
	machine = capacity{best.pool, placement.MachineTotal(best.machineType)}
	s.available[machine]++
	return machine, true
}

// poolOption is a pool of which a machine could be provisioned.
type poolOption struct {
	pool         MachinePool
	machineType  *jobs.MachineType
	taskPrice    float64 // of a machine, for each task that it would take
	requestBegun bool    // a request for machines of the pool is planned that may ask for more
	machineCount int     // machines there are, or are to be provisioned
}

func (s *scaleOut) option(machineType *jobs.MachineType, pool MachinePool, tasks int) poolOption {
	price := machineType.Price
	if pool.Spot {
		price = machineType.SpotPrice
	}
	return poolOption{
		pool:         pool,
		machineType:  machineType,
		taskPrice:    price / float64(tasks),
		requestBegun: s.provisioned[pool]%MaxMachinesPerRequest != 0,
		machineCount: s.market.MachineCounts[pool] + s.provisioned[pool],
	}
}

// compare orders options by their price. Of pools at the same price, one without a request
// that may ask for more comes first, then that with fewest machines: new machines are spread
// over the zones.
func (o poolOption) compare(other poolOption) int {
	return cmp.Or(
		cmp.Compare(o.taskPrice, other.taskPrice),
		falseFirst(o.requestBegun, other.requestBegun),
		cmp.Compare(o.machineCount, other.machineCount),
	)
}

// poolsOf returns the pools of a machine type.
func poolsOf(machineType *jobs.MachineType) []MachinePool {
	pools := make([]MachinePool, 0, 2*len(machineType.Zones))
	for _, zone := range machineType.Zones {
		for _, spot := range []bool{false, true} {
			pools = append(pools, MachinePool{machineType.Name, zone, spot})
		}
	}
	return pools
}

// tasksPerMachine is how many of a job's tasks an empty machine takes, one at least.
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

// falseFirst is a comparison that sorts false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
