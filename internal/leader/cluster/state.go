package cluster

// State is the leader's observed state of the cluster. The parts of the leader share one State for
// the duration of a term.
type State struct {
	Jobs     map[string]*Job // unfinished jobs, and jobs with tasks that may be on machines
	Machines MachineSet
}

// NewState returns the state of an empty cluster.
func NewState() *State {
	return &State{Jobs: map[string]*Job{}, Machines: NewMachineSet()}
}
