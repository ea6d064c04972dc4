package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// scheduleGang either places all tasks of a gang, or preempts tasks of other jobs for all tasks
// that do not fit, or does neither. A waiting gang reserves only the capacity for which it
// preempts and, if it is starved or Job.ReserveRoom is set, the capacity described there.
func (p *planner) scheduleGang(entry queueEntry, out *Output) {
	job := entry.Job
	if !p.gangSchedulable(entry) {
		return
	}
	p.undoEnabled = true
	defer func() { p.undoEnabled, p.onlyZone, p.undo = false, "", nil }()
	zones := p.candidateZones(job.Spec)
	best, fetchS := p.zoneWithSoonestStart(job, zones)
	if best >= 0 && job.startsTooLate(fetchS) && p.preemptGangWhereCached(job, zones, out) {
		return
	}
	if best >= 0 {
		p.placeGang(entry, zones[best], out)
		return
	}
	if p.preemptForGang(job, zones, out) {
		return
	}
	if entry.starved || job.ReserveRoom {
		p.reserveForGang(job, zones)
		if entry.starved {
			return
		}
		job.roomReserved = true
	}
	out.Unmet = append(out.Unmet, Demand{job, job.Pending})
}

// gangSchedulable reports whether the entry has anything to place, and the quota of its team
// covers the whole gang.
func (p *planner) gangSchedulable(entry queueEntry) bool {
	job := entry.Job
	if job.roomReserved || job.Pending == 0 || entry.starved && job.StarvedTasks == 0 {
		return false
	}
	return p.withinQuota(job, job.Pending) >= job.Pending
}

// candidateZones returns the zones to try for a gang that must run in a single zone. For any other
// gang it returns one empty name, which stands for all zones together.
func (p *planner) candidateZones(spec *jobs.Spec) (zones []string) {
	if !spec.OneZone {
		return []string{""}
	}
	for _, pool := range p.Index.pools {
		if spec.Allows(pool.machineType, pool.zone, pool.spot) && !slices.Contains(zones, pool.zone) {
			zones = append(zones, pool.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// placeAsManyAsFit places as many tasks of a gang as fit, in the named zone or in any zone if the
// name is empty. It returns their machines and the time in seconds that the slowest of them needs
// to fetch the image.
func (p *planner) placeAsManyAsFit(job *Job, zone string) (machines []*Machine, fetchS float64) {
	p.onlyZone = zone
	for len(machines) < job.Pending {
		machine := p.bestFit(job, false)
		if machine == nil {
			break
		}
		fetchS = max(fetchS, machine.imageFetchS(job.Spec))
		p.placeTask(job, machine)
		machines = append(machines, machine)
	}
	return machines, fetchS
}

// zoneWithSoonestStart returns the index of the zone that has room for all tasks and where the
// last image arrives first, and the time in seconds until then. The index is -1 if there is no
// such zone.
func (p *planner) zoneWithSoonestStart(job *Job, zones []string) (best int, bestFetchS float64) {
	best = -1
	for i, zone := range zones {
		machines, fetchS := p.placeAsManyAsFit(job, zone)
		p.rollBack()
		if len(machines) == job.Pending && (best < 0 || fetchS < bestFetchS) {
			best, bestFetchS = i, fetchS
		}
		if best >= 0 && bestFetchS == 0 {
			break
		}
	}
	return best, bestFetchS
}

// placeGang places all tasks of a gang in a zone that has room for them.
func (p *planner) placeGang(entry queueEntry, zone string, out *Output) {
	job := entry.Job
	machines, _ := p.placeAsManyAsFit(job, zone)
	for _, machine := range machines {
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
	}
	job.Pending, job.StarvedTasks = 0, 0
}

// preemptGangWhereCached is preemptForGang restricted to machines that have the image.
func (p *planner) preemptGangWhereCached(job *Job, zones []string, out *Output) bool {
	p.requireImage = true
	defer func() { p.requireImage = false }()
	return p.preemptForGang(job, zones, out)
}

// preemptForGang preempts tasks of other jobs for the tasks of a gang that do not fit. It picks
// the zone with the fewest victims among those where this makes room for the whole gang, and
// reserves the free capacity there until the victims have stopped. If there is no such zone, it
// returns false and changes nothing.
func (p *planner) preemptForGang(job *Job, zones []string, out *Output) bool {
	if !p.preemptionPossible(job) {
		return false
	}
	best, fewestVictims := -1, 0
	for i, zone := range zones {
		var tentative Output
		machines, _ := p.placeAsManyAsFit(job, zone)
		tasksWithRoom := len(machines) + p.preemptFor(job, job.Pending-len(machines), &tentative, p.requireImage)
		if tasksWithRoom == job.Pending && (best < 0 || len(tentative.Preemptions) < fewestVictims) {
			best, fewestVictims = i, len(tentative.Preemptions)
		}
		p.rollBack()
	}
	if best < 0 {
		return false
	}
	machines, _ := p.placeAsManyAsFit(job, zones[best])
	p.preemptFor(job, job.Pending-len(machines), out, p.requireImage)
	job.roomReserved = true
	out.PreemptingGangs = append(out.PreemptingGangs, job)
	return true
}
