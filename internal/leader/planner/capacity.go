package planner

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// Capacity tracks what assignments use of machines and quotas. It maintains the index of free
// resources by which placement finds machines.
type Capacity struct {
	index       placement.CapacityIndex
	usedByTeam  map[string]placement.Resources
	tasksByRank [8]int // number of tasks on machines, by priority rank
	machineType func(name string) *jobs.MachineType
}

// NewCapacity returns a Capacity without machines. machineType returns nil for an unknown type.
func NewCapacity(machineType func(name string) *jobs.MachineType) *Capacity {
	return &Capacity{usedByTeam: map[string]placement.Resources{}, machineType: machineType}
}

// UsedBy returns the resources of the team's tasks that are, or may be, on machines.
func (c *Capacity) UsedBy(team string) placement.Resources { return c.usedByTeam[team] }

// Allocate counts an assignment against its machine's free resources, its team's quota and its job's
// spread over zones.
func (c *Capacity) Allocate(assignment *cluster.Assignment) {
	assignment.CountsAsUsed = true
	c.add(assignment, 1)
}

// Release reverses Allocate. It does nothing for an assignment that is not counted.
func (c *Capacity) Release(assignment *cluster.Assignment) {
	if assignment.CountsAsUsed {
		assignment.CountsAsUsed = false
		c.add(assignment, -1)
	}
}

func (c *Capacity) add(assignment *cluster.Assignment, sign int) {
	machine, spec := assignment.Machine, assignment.Job.Spec
	request := placement.TaskRequest(spec)
	machine.Used = machine.Used.AddTimes(request, float64(sign))
	c.updateFree(machine)
	c.usedByTeam[spec.Team] = c.usedByTeam[spec.Team].AddTimes(request, float64(sign))
	c.tasksByRank[spec.Rank()] += sign
	assignment.Job.Zones[machine.Zone] += sign
}

func (c *Capacity) updateFree(machine *cluster.Machine) {
	c.index.SetFree(machine.Offer, machine.Offer.Total.AddTimes(machine.InUse(), -1))
}

// SetUnassignedBytes sets what the worker's heartbeats need beyond what assignments do. It reports whether that has
// become less.
func (c *Capacity) SetUnassignedBytes(machine *cluster.Machine, bytes float64) (less bool) {
	less = bytes < machine.UnassignedBytes
	if bytes != machine.UnassignedBytes {
		machine.UnassignedBytes = bytes
		c.updateFree(machine)
	}
	return less
}

// Offer makes a machine available to placement if its type is known. It reports whether the machine
// was not available before.
func (c *Capacity) Offer(machine *cluster.Machine) (isNew bool) {
	offer := machine.Offer
	changed := offer.Type != machine.Type || offer.Zone != machine.Zone || offer.Spot != machine.Spot
	if offer.Total == (placement.Resources{}) || changed {
		machineType := c.machineType(machine.Type)
		if machineType == nil {
			return false
		}
		c.index.Remove(offer)
		offer.Type, offer.Zone, offer.Spot = machine.Type, machine.Zone, machine.Spot
		offer.Total = placement.MachineTotal(machineType)
		offer.FetchGBPS = machineType.FetchGBPS
		offer.Free = offer.Total.AddTimes(machine.InUse(), -1)
	}
	return c.index.Insert(offer)
}

// Withdraw makes a machine unavailable to placement.
func (c *Capacity) Withdraw(machine *cluster.Machine) { c.index.Remove(machine.Offer) }

// copyUsage returns a copy of the resources in use by team.
func (c *Capacity) copyUsage() map[string]placement.Resources {
	used := make(map[string]placement.Resources, len(c.usedByTeam))
	for team, resources := range c.usedByTeam {
		used[team] = resources
	}
	return used
}

// lowestRank returns the lowest priority rank of any task on a machine.
func (c *Capacity) lowestRank() (rank int) {
	for rank < len(c.tasksByRank)-1 && c.tasksByRank[rank] == 0 {
		rank++
	}
	return rank
}
