package cluster

// TickGroups is how many ticks there are in a control interval. What need not be looked at on
// each tick, of thousands of machines, has its turn in one of them.
const TickGroups = 8

// MachineSet holds the leader's machines, with one group for each tick of a control interval.
type MachineSet struct {
	ByID   map[string]*Machine
	All    []*Machine
	Groups [TickGroups]map[*Machine]bool
}

// NewMachineSet makes an empty set.
func NewMachineSet() MachineSet {
	set := MachineSet{ByID: map[string]*Machine{}}
	for i := range set.Groups {
		set.Groups[i] = map[*Machine]bool{}
	}
	return set
}

// Add adds a machine whose id is not in the set yet.
func (s *MachineSet) Add(m *Machine) {
	m.index = len(s.All)
	s.All = append(s.All, m)
	s.ByID[m.ID] = m
	s.Groups[m.TickGroup][m] = true
}

// Remove drops a machine that is in the set.
func (s *MachineSet) Remove(m *Machine) {
	last := s.All[len(s.All)-1]
	s.All[m.index], last.index = last, m.index
	s.All = s.All[:len(s.All)-1]
	delete(s.ByID, m.ID)
	delete(s.Groups[m.TickGroup], m)
}

// Contains tells whether this machine, not only one of the same id, is in the set.
func (s *MachineSet) Contains(m *Machine) bool { return s.ByID[m.ID] == m }
