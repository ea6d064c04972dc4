package cluster

// TickGroups is the number of ticks in a control interval. With thousands of machines, checks that
// need not run on every tick run for one group of machines per tick.
const TickGroups = 8

// MachineSet is the leader's machines, with one group for each tick of a control interval.
type MachineSet struct {
	ByID   map[string]*Machine
	All    []*Machine
	Groups [TickGroups]map[*Machine]bool
}

// NewMachineSet returns an empty set.
func NewMachineSet() MachineSet {
	set := MachineSet{ByID: map[string]*Machine{}}
	for i := range set.Groups {
		set.Groups[i] = map[*Machine]bool{}
	}
	return set
}

// Add adds a machine. The set must not contain one with the same ID.
func (s *MachineSet) Add(m *Machine) {
	m.setIndex = len(s.All)
	s.All = append(s.All, m)
	s.ByID[m.ID] = m
	s.Groups[m.TickGroup][m] = true
}

// Remove removes a machine. The set must contain it.
func (s *MachineSet) Remove(m *Machine) {
	last := s.All[len(s.All)-1]
	s.All[m.setIndex], last.setIndex = last, m.setIndex
	s.All = s.All[:len(s.All)-1]
	delete(s.ByID, m.ID)
	delete(s.Groups[m.TickGroup], m)
}

// Contains reports whether the set contains this very machine, not just one with the same ID.
func (s *MachineSet) Contains(m *Machine) bool { return s.ByID[m.ID] == m }
