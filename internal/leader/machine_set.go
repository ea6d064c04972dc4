package leader

// machineSet holds the leader's machines. A tick goes through all of them for what
// cannot wait, and through one group for the rest, so that each machine has its turn
// once in a control interval.
type machineSet struct {
	byID   map[string]*machine
	all    []*machine
	groups [ticksPerInterval]map[*machine]bool
}

func newMachineSet() machineSet {
	s := machineSet{byID: map[string]*machine{}}
	for i := range s.groups {
		s.groups[i] = map[*machine]bool{}
	}
	return s
}

// add takes in a machine whose id is not there yet.
func (s *machineSet) add(m *machine) {
	m.at = len(s.all)
	s.all = append(s.all, m)
	s.byID[m.id] = m
	s.groups[m.group][m] = true
}

// remove drops a machine that is there.
func (s *machineSet) remove(m *machine) {
	last := s.all[len(s.all)-1]
	s.all[m.at], last.at = last, m.at
	s.all = s.all[:len(s.all)-1]
	delete(s.byID, m.id)
	delete(s.groups[m.group], m)
}

// has tells whether this machine, not only one of the same id, is there.
func (s *machineSet) has(m *machine) bool { return s.byID[m.id] == m }
