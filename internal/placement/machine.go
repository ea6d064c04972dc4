package placement

import (
	"ospreyslip/internal/jobs"
)

// Machine is a machine on which tasks may be placed.
type Machine struct {
	ID, Type, Zone string
	Spot           bool // a spot (preemptible) machine
	Straggler      bool // runs tasks much more slowly than other machines, so used for services only
	Total, Free    Resources
	FetchGBPS      float64            // rate at which it fetches images, in GB per second
	Images         map[string]bool    // images that are cached on it
	Fetching       map[string]float64 // images being fetched, with their size in GB
	AvoidJobs      map[string]bool    // IDs of jobs whose tasks should not return to it

	// Set by Input.LoadTasks, and only on machines considered for preemption or a reservation.
	Releasing Resources // resources held by tasks that have been told to stop
	Tasks     []*RunningTask

	pool *pool // the pool of the index that holds it; nil if it is not indexed
}

// RunningTask is a task on a machine that may be preempted.
type RunningTask struct {
	Job       *Job
	Index     int     // index of the task within its job
	LostRunS  float64 // run time in seconds that is lost if it is stopped
	GangTasks int     // number of tasks in its gang, all of which stop with it; 0 for other jobs
	Starved   bool    // placed ahead of the queue because its job was starved
}

// Accepts reports whether a machine takes tasks of a job, regardless of its type, zone and free
// resources.
func (m *Machine) Accepts(spec *jobs.Spec) bool {
	return !m.AvoidJobs[spec.ID] && (!m.Straggler || spec.Shape == jobs.Service)
}

// imageFetchS returns the time in seconds that a machine needs to fetch an image. Images fetched
// at the same time share the machine's fetch rate.
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

// preemptionCost returns the CPU seconds lost by stopping a task, plus one per task so that of
// equally costly choices the one with the fewest tasks is preferred. For a gang, the run time of all
// its tasks is lost. It also has to find room for all of them at the same time again, which counts
// as much as another run.
func (t *RunningTask) preemptionCost() float64 {
	spec := t.Job.Spec
	if spec.Shape == jobs.Gang {
		return float64(t.GangTasks) * (1 + (t.LostRunS+spec.EstimatedRuntimeS)*spec.CPUs)
	}
	return 1 + t.LostRunS*spec.CPUs
}
