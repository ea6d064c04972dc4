package placement

import (
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// placeTasks puts a job's tasks on machines with room, only on those with its image if
// so asked, and returns how many are left.
func (p *planner) placeTasks(entry queueEntry, out *Output, onlyWithImage bool) (left int) {
	job := entry.Job
	left = job.Pending
	if entry.starved {
		left = min(left, job.StarvedTasks)
	}
	for left > 0 {
		if p.tasksWithinQuota(job, 1) == 0 {
			break // no machine would help
		}
		machine := p.bestFit(job, onlyWithImage)
		if machine == nil {
			break
		}
		// A service whose image would come too late starts sooner where the image
		// is, even if something has to leave for that.
		if fetchS := machine.imageFetchS(job.Spec) * slowFetchFactor; job.Spec.Shape == jobs.Service && fetchS > 0 && fetchS > job.StartWithinS && job.StartWithinS > 0 &&
			p.preemptFor(job, 1, out, func(machine *Machine) bool { return machine.Images[job.Spec.Image] }) > 0 {
			left--
			job.Pending--
			continue
		}
		p.placeTask(job, machine)
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
		left--
		job.Pending--
		if entry.starved {
			job.StarvedTasks--
		}
	}
	return left
}

// reserveEmptiest keeps others off the machines with most room, up to n of them.
func (p *planner) reserveEmptiest(job *Job, count int) {
	for range count {
		machine := p.Index.emptiest(func(machine *Machine) bool {
			_, taken := p.originalFree[machine]
			return !taken && machine.Total.Fits(TaskRequest(job.Spec)) && machine.accepts(job)
		})
		if machine == nil {
			return
		}
		p.setFree(machine, Resources{})
	}
}

// setFree changes what is free on a machine for the time of this plan.
func (p *planner) setFree(machine *Machine, free Resources) {
	if _, ok := p.originalFree[machine]; !ok {
		p.originalFree[machine] = machine.Free
	}
	if before := machine.Free; p.trial {
		p.undo = append(p.undo, func() { p.Index.SetFree(machine, before) })
	}
	p.Index.SetFree(machine, free)
}

// tasksWithinQuota is how many more of n tasks the team's limit allows.
func (p *planner) tasksWithinQuota(job *Job, count int) int {
	team := findTeam(p.Teams, job.Spec.Team)
	used, request := p.UsedByTeam[team.Name], TaskRequest(job.Spec)
	bound := func(limit, used, perTask float64) {
		if limit > 0 && perTask > 0 {
			count = min(count, max(0, int((limit-used+roundingTolerance)/perTask)))
		}
	}
	bound(team.CPUsMax, used.CPUs, request.CPUs)
	bound(team.GPUsMax, used.GPUs, request.GPUs)
	return count
}

// TopologyAllows tells whether a job with tasks in some zones may have one more in
// this one.
func TopologyAllows(spec *jobs.Spec, tasksByZone map[string]int, zone string) bool {
	if spec.OneZone {
		for other, n := range tasksByZone {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return tasksByZone[zone] < spec.ZoneLimit()
}

// accepts tells whether a machine of an allowed kind is one for the job, room aside.
func (m *Machine) accepts(job *Job) bool {
	return !m.AvoidJobs[job.Spec.ID] && (!m.Straggler || job.Spec.Shape == jobs.Service)
}

// bestFit returns the fullest machine that fits. A service starts sooner where
// its image is, and a gang with its last image: that goes first for them and breaks
// ties for others. What has no
// time to begin twice goes to a machine that is not taken back, if one has room. If
// so asked, it returns nil unless such a machine has the image.
func (p *planner) bestFit(job *Job, onlyWithImage bool) *Machine {
	request := TaskRequest(job.Spec)
	startCounts := job.Spec.Shape != jobs.Batch // its start is what counts
	var best *Machine
	var bestScore [3]float64
	leastLeftover := math.Inf(1) // that any machine would have left
	for _, pool := range p.Index.pools {
		if !p.allowsPool(job, pool) || !TopologyAllows(job.Spec, job.TasksByZone, pool.zone) {
			continue
		}
		pool.eachWithCPUs(request, func(machine *Machine) bool {
			if !machine.accepts(job) || !machine.Free.Fits(request) || p.onlyWithImage && !machine.Images[job.Spec.Image] {
				return true
			}
			leftover := freeShareAfter(machine, request)
			if leastLeftover = min(leastLeftover, leftover); onlyWithImage && !machine.Images[job.Spec.Image] {
				return leftover <= leastLeftover
			}
			fetchS := machine.imageFetchS(job.Spec)
			score := [3]float64{0, leftover, fetchS}
			switch {
			case startCounts:
				score = [3]float64{fetchS, leftover, 0}
			case job.NoTimeToRestart && machine.Spot:
				score[0] = 1
			}
			if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
				best, bestScore = machine, score
			}
			// The next ones of this kind are emptier.
			return fetchS > 0 && (startCounts || leftover == bestScore[1])
		})
	}
	if onlyWithImage && best != nil && bestScore[1] > leastLeftover {
		return nil // an image is no reason to open an emptier machine
	}
	return best
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

// freeShareAfter is the share of a machine that stays free.
func freeShareAfter(machine *Machine, request Resources) float64 {
	rest := machine.Free.AddTimes(request, -1)
	share := 0.0
	if machine.Total.CPUs > 0 {
		share += rest.CPUs / machine.Total.CPUs
	}
	if machine.Total.RAMGB > 0 {
		share += rest.RAMGB / machine.Total.RAMGB
	}
	if machine.Total.GPUs > 0 {
		share += rest.GPUs / machine.Total.GPUs
	}
	return share
}

func (p *planner) placeTask(job *Job, machine *Machine) {
	p.setFree(machine, machine.Free.AddTimes(TaskRequest(job.Spec), -1))
	p.countTask(job, machine)
}

// countTask notes a task of a job on a machine.
func (p *planner) countTask(job *Job, machine *Machine) {
	job.TasksByZone[machine.Zone]++
	p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), 1)
	if p.trial {
		p.undo = append(p.undo, func() {
			job.TasksByZone[machine.Zone]--
			p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), -1)
		})
	}
}
