package placement

import (
	"ospreyslip/internal/jobs"
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

	pool *pool
}

// RunningTask is a task on a machine that could be stopped.
type RunningTask struct {
	Job       *Job
	Index     int
	LostRunS  float64 // what stopping it would lose
	GangTasks int     // tasks of its gang, which stop with it
	Starved   bool    // placed because its job had got nothing for too long
}

// accepts tells whether a machine of an allowed kind is one for the job, room aside.
func (m *Machine) accepts(job *Job) bool {
	return !m.AvoidJobs[job.Spec.ID] && (!m.Straggler || job.Spec.Shape == jobs.Service)
}

// imageFetchS is how long a machine needs to get a job's image, in seconds. Images that
// are fetched at the same time share its rate.
func (m *Machine) imageFetchS(spec *jobs.Spec) float64 {
	if m.Images[spec.Image] {
		return 0
	}
	gb := spec.ImageGB
	for image, size := range m.Fetching {
		if image != spec.Image {
			gb += size
		}
	}
	return gb / max(m.FetchGBPS, roundingTolerance)
}

// preemptionCost is what stopping a task loses. A gang loses what all of its tasks have run
// for, and has to find room for all of them at a time again.
func (t *RunningTask) preemptionCost() float64 {
	spec := t.Job.Spec
	if spec.Shape == jobs.Gang {
		return float64(t.GangTasks) * (1 + (t.LostRunS+spec.EstimateS)*spec.CPUs)
	}
	return 1 + t.LostRunS*spec.CPUs
}
