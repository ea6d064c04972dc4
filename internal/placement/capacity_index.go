package placement

import (
	"github.com/google/btree"
)

// CapacityIndex holds the machines that take work, ordered by their free resources, so that the
// cost of finding a machine does not grow with the number of machines. The zero value is empty and
// ready for use. While a machine is in the index, its Type, Zone and Spot must not be changed, and
// its Free only by SetFree.
type CapacityIndex struct{ pools []*pool }

// pool holds the machines of one type, zone and pricing model in the order of lessFree.
type pool struct {
	machineType, zone string
	spot              bool
	machines          *btree.BTreeG[*Machine]
	searchKey         Machine // reused by eachWithCPUs as the lower bound of its searches
}

// btreeDegree is the degree at which a tree node fills a few cache lines.
const btreeDegree = 16

// lessFree orders machines by free resources, the fullest first. Comparing the IDs last makes the
// order total: the tree treats machines that compare equal as one.
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

// Insert adds a machine. It returns false and does nothing if the machine is already in the index.
func (x *CapacityIndex) Insert(machine *Machine) bool {
	if machine.pool != nil {
		return false
	}
	for _, candidate := range x.pools {
		if candidate.machineType == machine.Type && candidate.zone == machine.Zone && candidate.spot == machine.Spot {
			machine.pool = candidate
		}
	}
	if machine.pool == nil {
		machine.pool = &pool{
			machineType: machine.Type, zone: machine.Zone, spot: machine.Spot,
			machines: btree.NewG(btreeDegree, lessFree),
		}
		x.pools = append(x.pools, machine.pool)
	}
	machine.pool.machines.ReplaceOrInsert(machine)
	return true
}

// Remove removes a machine from the index, if it is there.
func (x *CapacityIndex) Remove(machine *Machine) {
	if machine.pool != nil {
		machine.pool.machines.Delete(machine)
		machine.pool = nil
	}
}

// SetFree sets the free resources of a machine, whether or not it is in the index.
func (x *CapacityIndex) SetFree(machine *Machine, free Resources) {
	if machine.pool == nil {
		machine.Free = free
		return
	}
	machine.pool.machines.Delete(machine)
	machine.Free = free
	machine.pool.machines.ReplaceOrInsert(machine)
}

// eachWithCPUs calls next for each machine with enough free CPUs for a request, the fullest first,
// until next returns false. It does not check the other resources.
func (p *pool) eachWithCPUs(request Resources, next func(*Machine) bool) {
	minCPUs := request.CPUs - roundingTolerance
	if emptiest, ok := p.machines.Max(); !ok || emptiest.Free.CPUs < minCPUs {
		return // the common case: all machines are full
	}
	p.searchKey.Free.CPUs = minCPUs
	p.machines.AscendGreaterOrEqual(&p.searchKey, next)
}

// each calls visit for every machine, the fullest first.
func (p *pool) each(visit func(*Machine)) {
	p.machines.Ascend(func(machine *Machine) bool {
		visit(machine)
		return true
	})
}

// emptiest returns the accepted machine with the most free CPUs, or nil if none is accepted. Among
// equals it returns one from the pool that was added first.
func (x *CapacityIndex) emptiest(accept func(*Machine) bool) (best *Machine) {
	for _, pool := range x.pools {
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
