package placement

import (
	"github.com/google/btree"
)

// CapacityIndex holds the machines that take work, ordered by their free resources: the
// cost of finding a machine does not grow with the fleet.
type CapacityIndex struct{ pools []*pool }

// pool holds the machines of one type, zone and pricing model, the fullest first.
type pool struct {
	machineType, zone string
	spot              bool
	machines          *btree.BTreeG[*Machine]
	searchKey         Machine // where a search begins
}

// btreeDegree of the trees: a node fills a few cache lines.
const btreeDegree = 16

func lessFree(a, b *Machine) bool {
	switch {
	case a.Free.CPUs != b.Free.CPUs:
		return a.Free.CPUs < b.Free.CPUs
	case a.Free.RAMGB != b.Free.RAMGB:
		return a.Free.RAMGB < b.Free.RAMGB
	case a.Free.GPUs != b.Free.GPUs:
		return a.Free.GPUs < b.Free.GPUs
	}
	return a.ID < b.ID
}

// Insert adds a machine and returns true, or does nothing if it is there.
func (s *CapacityIndex) Insert(machine *Machine) bool {
	if machine.pool != nil {
		return false
	}
	for _, candidate := range s.pools {
		if candidate.machineType == machine.Type && candidate.zone == machine.Zone && candidate.spot == machine.Spot {
			machine.pool = candidate
		}
	}
	if machine.pool == nil {
		machine.pool = &pool{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot, machines: btree.NewG(btreeDegree, lessFree)}
		s.pools = append(s.pools, machine.pool)
	}
	machine.pool.machines.ReplaceOrInsert(machine)
	return true
}

// Remove drops a machine from the index.
func (s *CapacityIndex) Remove(machine *Machine) {
	if machine.pool != nil {
		machine.pool.machines.Delete(machine)
		machine.pool = nil
	}
}

// SetFree changes what is free on a machine, whether or not it is in the index.
func (s *CapacityIndex) SetFree(machine *Machine, free Resources) {
	if machine.pool == nil {
		machine.Free = free
		return
	}
	machine.pool.machines.Delete(machine)
	machine.Free = free
	machine.pool.machines.ReplaceOrInsert(machine)
}

// eachWithCPUs goes through the machines that may have room, the fullest first, while
// next says so.
func (k *pool) eachWithCPUs(request Resources, next func(*Machine) bool) {
	leastCPUs := request.CPUs - roundingTolerance
	if roomiest, ok := k.machines.Max(); !ok || roomiest.Free.CPUs < leastCPUs {
		return // mostly all are full
	}
	k.searchKey.Free.CPUs = leastCPUs
	k.machines.AscendGreaterOrEqual(&k.searchKey, next)
}

// each goes through all machines, the fullest first.
func (k *pool) each(visit func(*Machine)) {
	k.machines.Ascend(func(m *Machine) bool { visit(m); return true })
}

// emptiest returns the machine with most room of those that will do.
func (s *CapacityIndex) emptiest(accept func(*Machine) bool) (best *Machine) {
	for _, pool := range s.pools {
		pool.machines.Descend(func(machine *Machine) bool {
			if !accept(machine) {
				return true
			}
			if best == nil || best.Free.CPUs < machine.Free.CPUs {
				best = machine
			}
			return false
		})
	}
	return best
}
