package autoscaler

// MachinePool is a set of interchangeable machines: one type, one zone, one pricing model.
// Machines are provisioned by pool.
type MachinePool struct {
	Type, Zone string
	Spot       bool // spot (preemptible) machines, which the cloud may reclaim
}

// MaxMachinesPerRequest is the number of machines that the cloud provisions for one request, as
// defined by the protocol. Plans take it into account because the number of requests is limited,
// too.
const MaxMachinesPerRequest = 50
