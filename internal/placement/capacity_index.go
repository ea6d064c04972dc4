package placement

import (
	"github.com/google/btree"
)

// Machine is a machine that takes work.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Straggler      bool // not for batch tasks
	Total, Free    Resources
	FetchGBPS      float64
	Images         map[string]bool    // that it has
	Fetching       map[string]float64 // that it is getting, and their size in GB
	AvoidJobs      map[string]bool    // jobs that should not come back

	// Filled only where room has to be made.
	Releasing Resources // of tasks told to stop
	Tasks     []*RunningTask

	on *kindIndex
}

// RunningTask is a task on a machine that could be stopped.
type RunningTask struct {
	Job       *Job
	Index     int
	LostRunS  float64 // what stopping it would lose
	GangTasks int     // tasks of its gang, which stop with it
	Starved   bool    // placed because its job had got nothing for too long
}

// CapacityIndex holds the machines that take work, ordered by their free resources: the
// cost of finding a machine does not grow with the fleet.
type CapacityIndex struct{ kinds []*kindIndex }

// kindIndex holds the machines of one type, zone and pricing model, the fullest first.
type kindIndex struct {
	typ, zone string
	spot      bool
	machines  *btree.BTreeG[*Machine]
	pivot     Machine // where a search begins
}

// degree of the trees: a node fills a few cache lines.
const degree = 16

func fuller(a, b *Machine) bool {
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
func (s *CapacityIndex) Insert(m *Machine) bool {
	if m.on != nil {
		return false
	}
	for _, k := range s.kinds {
		if k.typ == m.Type && k.zone == m.Zone && k.spot == m.Spot {
			m.on = k
		}
	}
	if m.on == nil {
		m.on = &kindIndex{typ: m.Type, zone: m.Zone, spot: m.Spot, machines: btree.NewG(degree, fuller)}
		s.kinds = append(s.kinds, m.on)
	}
	m.on.machines.ReplaceOrInsert(m)
	return true
}

// Remove drops a machine from the index.
func (s *CapacityIndex) Remove(m *Machine) {
	if m.on != nil {
		m.on.machines.Delete(m)
		m.on = nil
	}
}

// SetFree changes what is free on a machine, whether or not it is in the index.
func (s *CapacityIndex) SetFree(m *Machine, free Resources) {
	if m.on == nil {
		m.Free = free
		return
	}
	m.on.machines.Delete(m)
	m.Free = free
	m.on.machines.ReplaceOrInsert(m)
}

// from goes through the machines that may have room, the fullest first, while
// next says so.
func (k *kindIndex) from(need Resources, next func(*Machine) bool) {
	least := need.CPUs - slack
	if roomiest, ok := k.machines.Max(); !ok || roomiest.Free.CPUs < least {
		return // mostly all are full
	}
	k.pivot.Free.CPUs = least
	k.machines.AscendGreaterOrEqual(&k.pivot, next)
}

// all goes through all machines, the fullest first.
func (k *kindIndex) all(each func(*Machine)) {
	k.machines.Ascend(func(m *Machine) bool { each(m); return true })
}

// roomiest returns the machine with most room of those that will do.
func (s *CapacityIndex) roomiest(will func(*Machine) bool) (best *Machine) {
	for _, k := range s.kinds {
		k.machines.Descend(func(m *Machine) bool {
			if !will(m) {
				return true
			}
			if best == nil || best.Free.CPUs < m.Free.CPUs {
				best = m
			}
			return false
		})
	}
	return best
}
