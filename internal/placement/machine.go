package placement

import (
	"ospreyslip/internal/jobs"
)

// Machine is a machine that takes work.
type Machine struct {
	ID, Type, Zone string
	Spot           bool // a spot (preemptible) instance
	Straggler      bool // slower than its type: for services only
	Total, Free    Resources
	FetchGBPS      float64            // rate at which it fetches images, in GB a second
	Images         map[string]bool    // images that it has
	Fetching       map[string]float64 // images that it is fetching, with their size in GB
	AvoidJobs      map[string]bool    // ids of jobs whose tasks should not come back to it

	// Set by Input.LoadTasks, only on machines that are looked at for victims.
	Releasing Resources // held by tasks that have been told to stop
	Tasks     []*RunningTask

	pool *pool // the part of the index that holds it; nil if none does
}

// RunningTask is a task on a machine that may be preempted.
type RunningTask struct {
	Job       *Job
	Index     int     // of the task in its job
	LostRunS  float64 // seconds of run time that stopping it loses
	GangTasks int     // tasks of its gang, all of which stop with it; 0 for other jobs
	Starved   bool    // it was placed ahead of the queue because its job had starved
}

// accepts tells whether a machine takes tasks of the job at all, its free room aside.
func (m *Machine) accepts(job *Job) bool {
	return !m.AvoidJobs[job.Spec.ID] && (!m.Straggler || job.Spec.Shape == jobs.Service)
}

// imageFetchS is how many seconds a machine needs to fetch an image. Images that are fetched
// at the same time share its rate.
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

// preemptionCost is what stopping a task loses, in CPU seconds and one for each task, so that
// of equals the fewest stop. A gang loses what all of its tasks have run for, and it has to
// find room for all of them at a time again, which counts as much as a run.
func (t *RunningTask) preemptionCost() float64 {
	spec := t.Job.Spec
	if spec.Shape == jobs.Gang {
		return float64(t.GangTasks) * (1 + (t.LostRunS+spec.EstimatedRuntimeS)*spec.CPUs)
	}
	return 1 + t.LostRunS*spec.CPUs
}
