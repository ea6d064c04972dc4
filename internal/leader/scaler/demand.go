package scaler

import (
	"math"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// defaultDeadlineFactor is the time allowed to a batch job without a service-level objective or
// deadline, as a multiple of its run time plus boot time.
const defaultDeadlineFactor = 4.0

// demand returns the tasks for which to provision machines: tasks of services and gangs immediately,
// batch tasks only if they would be late on the present machines.
func (s *Scaler) demand(now time.Time, unmetDemand []placement.Demand) []autoscaler.Demand {
	var lateTasks []int // in queue order
	missingCPUs := 0.0
	if queue := s.batchQueue(unmetDemand); len(queue) > 0 {
		lateTasks, missingCPUs = autoscaler.ForecastLateTasks(s.forecastMachines(now), queue), s.missingCPUs(now)
	}
	var demands []autoscaler.Demand
	for _, d := range unmetDemand {
		count := d.Count
		if d.Job.Spec.Shape == jobs.Batch {
			count, missingCPUs = s.batchDemand(d, lateTasks[0], missingCPUs)
			lateTasks = lateTasks[1:]
		}
		if count > 0 {
			demands = append(demands, autoscaler.Demand{Spec: d.Job.Spec, TasksByZone: d.Job.TasksByZone, Count: count})
		}
	}
	return demands
}

// batchQueue returns the batch tasks without a machine in the form that the forecast takes.
func (s *Scaler) batchQueue(unmetDemand []placement.Demand) (queue []autoscaler.PendingTasks) {
	for _, d := range unmetDemand {
		if spec := d.Job.Spec; spec.Shape == jobs.Batch {
			queue = append(queue, autoscaler.PendingTasks{
				Spec: spec, Count: d.Count, RunS: s.host.RunTimeS(spec),
				DeadlineS: s.deps.Settings.Operator.TimeLeftShare * s.timeLeftS(d.Job),
			})
		}
	}
	return queue
}

// batchDemand returns for how many of a job's tasks to provision machines, given how many of them
// would be late and how many CPUs are missing for all batch work. It also returns the number of CPUs
// that are still missing afterwards.
func (s *Scaler) batchDemand(demand placement.Demand, lateTasks int, missingCPUs float64) (count int, stillMissing float64) {
	spec := demand.Job.Spec
	count = lateTasks
	// One new machine runs several tasks one after the other.
	waves := (s.timeLeftS(demand.Job) - s.deps.Catalog.ShortestBootTime().Seconds()) / s.host.RunTimeS(spec)
	if waves > 1 && count > 0 {
		count = int(math.Ceil(float64(count) / math.Floor(waves)))
	}
	// The forecast does not include work that has yet to arrive.
	if spec.CPUs > 0 && missingCPUs > 0 {
		count = max(count, min(demand.Count, int(math.Ceil(missingCPUs/spec.CPUs))))
		missingCPUs -= float64(count) * spec.CPUs
	}
	return count, missingCPUs
}

// timeLeftS returns the time that a batch job has left, in seconds. A job without an objective gets
// a default, since it must not wait forever.
func (s *Scaler) timeLeftS(job *placement.Job) float64 {
	if job.DeadlineS < placement.NoDeadline {
		return job.DeadlineS
	}
	return defaultDeadlineFactor * (s.host.RunTimeS(job.Spec) + s.deps.Catalog.ShortestBootTime().Seconds())
}

// missingCPUs returns how many CPUs are missing, in addition to those that services use, to keep up
// with the recent arrival rate of batch work and to clear the backlog within the same window.
func (s *Scaler) missingCPUs(now time.Time) float64 {
	missing := max(s.arrivals.cpusAt(now), s.backlogCPUSeconds()/s.arrivals.window.Seconds())
	for _, m := range s.deps.State.Machines.All {
		machineType := s.deps.Catalog.Type(m.Type)
		if machineType == nil || m.Phase == cluster.Releasing || m.Health.Dead || m.Health.Draining || m.Offer.Straggler {
			continue
		}
		missing -= machineType.CPUs
		for _, a := range m.Assignments {
			if !a.Job.Spec.RunsToCompletion() {
				missing += a.Job.Spec.CPUs
			}
		}
	}
	for pool, count := range s.provisioning.machinesInFlight {
		if machineType := s.deps.Catalog.Type(pool.Type); machineType != nil {
			missing -= machineType.CPUs * float64(count)
		}
	}
	return missing
}

// backlogCPUSeconds returns the work of all incomplete tasks that run to completion, in CPU seconds.
func (s *Scaler) backlogCPUSeconds() (work float64) {
	for _, job := range s.deps.State.Jobs {
		if !job.IsFinished() && job.Spec.RunsToCompletion() {
			work += float64(job.Spec.Tasks-job.Completions.Count) * s.host.RunTimeS(job.Spec) * job.Spec.CPUs
		}
	}
	return work
}
