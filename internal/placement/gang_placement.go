package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// candidateZones are the zones in which a gang can be placed, one after the other, if it has
// to be in one; else the one empty name stands for all of them together.
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

// scheduleGang gives a gang its turn: all of its tasks find room, or room is made for
// all that do not, or none is placed. A gang that waits for room keeps none from
// others but what is being made for it, and what it is owed when it has waited for
// too long.
func (p *planner) scheduleGang(entry queueEntry, out *Output) {
	job := entry.Job
	if job.roomReserved || job.Pending == 0 || entry.starved && job.StarvedTasks == 0 || p.tasksWithinQuota(job, job.Pending) < job.Pending {
		return
	}
	p.trial = true
	defer func() { p.trial, p.onlyZone, p.undo = false, "", nil }()
	zones := p.candidateZones(job.Spec)
	best, fetchS := p.zoneWithSoonestStart(job, zones)
	if best >= 0 && job.StartWithinS > 0 && fetchS*slowFetchFactor > job.StartWithinS {
		// Its image would come too late: it starts sooner where that is, even if
		// something has to leave.
		p.onlyWithImage = true
		preempting := p.preemptForGang(job, zones, out)
		p.onlyWithImage = false
		if preempting {
			return
		}
	}
	if best >= 0 {
		p.placeWholeGang(entry, zones[best], out)
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

// placeWhatFits puts as many of a gang's tasks on machines as have room, in one zone if so
// named, and tells when the last of them will have its image.
func (p *planner) placeWhatFits(job *Job, zone string) (machines []*Machine, fetchS float64) {
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

// zoneWithSoonestStart returns the zone with room for all tasks in which the last one starts
// soonest, or -1, and how long its fetch takes.
func (p *planner) zoneWithSoonestStart(job *Job, zones []string) (best int, bestFetchS float64) {
	best = -1
	for i, zone := range zones {
		machines, fetchS := p.placeWhatFits(job, zone)
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

// placeWholeGang places all tasks, for which there is room.
func (p *planner) placeWholeGang(entry queueEntry, zone string, out *Output) {
	job := entry.Job
	machines, _ := p.placeWhatFits(job, zone)
	for _, machine := range machines {
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
	}
	job.Pending, job.StarvedTasks = 0, 0
}

// preemptForGang stops lower work for the tasks that find no room, if that makes room for
// all of them. Until it is free, what there is is kept.
func (p *planner) preemptForGang(job *Job, zones []string, out *Output) bool {
	if !p.preemptionPossible(job) {
		return false
	}
	best, cheapest := -1, 0
	for i, zone := range zones {
		var trial Output
		machines, _ := p.placeWhatFits(job, zone)
		if len(machines)+p.preemptFor(job, job.Pending-len(machines), &trial, nil) == job.Pending && (best < 0 || len(trial.Preemptions) < cheapest) {
			best, cheapest = i, len(trial.Preemptions)
		}
		p.rollBack()
	}
	if best < 0 {
		return false
	}
	machines, _ := p.placeWhatFits(job, zones[best])
	p.preemptFor(job, job.Pending-len(machines), out, nil)
	job.roomReserved = true
	out.Preempting = append(out.Preempting, job)
	return true
}
