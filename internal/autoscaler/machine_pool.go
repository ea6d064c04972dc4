package autoscaler

// MachinePool is a set of machines that the cloud provides alike: of one type, in one zone,
// with one pricing model. It is the unit in which machines are provisioned.
type MachinePool struct {
	Type, Zone string
	Spot       bool // spot (preemptible) instances, which the cloud may take back
}

// MaxMachinesPerRequest is how many machines the cloud provisions for one request, from the
// protocol. Plans are made by it, as the number of requests is limited, too.
const MaxMachinesPerRequest = 50
