package cluster

// State is the leader's observed state of the whole cluster. It is one object for a whole
// term, which the leader's parts share.
type State struct {
	Jobs     map[string]*Job // unfinished, or with tasks that may be on machines
	Machines MachineSet
}

// NewState makes the state of an empty cluster.
func NewState() *State {
	return &State{Jobs: map[string]*Job{}, Machines: NewMachineSet()}
}
