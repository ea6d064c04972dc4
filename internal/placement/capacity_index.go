package placement

import (
	"github.com/google/btree"
)

// CapacityIndex holds the machines that take work, ordered by their free resources, so that the
// cost of finding a machine does not grow with the number of machines. Its zero value is empty
// and ready for use. Type, Zone, Spot and Free of a machine must not be changed while it is in
// the index, but by SetFree.
type CapacityIndex struct{ pools []*pool }

// pool holds the machines of one type, zone and pricing model in the order of lessFree.
type pool struct {
	machineType, zone string
	spot              bool
	machines          *btree.BTreeG[*Machine]
	searchKey         Machine // reused by eachWithCPUs as the lower bound of a search
}

// btreeDegree makes a node of a tree fill a few cache lines.
const btreeDegree = 16

// lessFree orders machines by what is free on them, the fullest first. The name makes the order
// total: the tree takes machines that compare equal for the same one.
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

// Insert adds a machine. It returns false, and does nothing, if the machine is in the index.
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

// Remove drops a machine from the index, if it is there.
func (x *CapacityIndex) Remove(machine *Machine) {
	if machine.pool != nil {
		machine.pool.machines.Delete(machine)
		machine.pool = nil
	}
}

// SetFree changes what is free on a machine, whether or not it is in the index.
func (x *CapacityIndex) SetFree(machine *Machine, free Resources) {
	if machine.pool == nil {
		machine.Free = free
		return
	}
	machine.pool.machines.Delete(machine)
	machine.Free = free
	machine.pool.machines.ReplaceOrInsert(machine)
}

// eachWithCPUs calls next with the machines that have enough free CPUs for a request, the
// fullest first, until it returns false. That other resources suffice is for next to check.
func (p *pool) eachWithCPUs(request Resources, next func(*Machine) bool) {
	leastCPUs := request.CPUs - roundingTolerance
	if roomiest, ok := p.machines.Max(); !ok || roomiest.Free.CPUs < leastCPUs {
		return // the usual case: all machines are full
	}
	p.searchKey.Free.CPUs = leastCPUs
	p.machines.AscendGreaterOrEqual(&p.searchKey, next)
}

// each calls visit with all machines, the fullest first.
func (p *pool) each(visit func(*Machine)) {
	p.machines.Ascend(func(machine *Machine) bool {
		visit(machine)
		return true
	})
}

// emptiest returns the machine with most free CPUs of those accepted, or nil. Of equals it is
// one of the pool that came first.
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
