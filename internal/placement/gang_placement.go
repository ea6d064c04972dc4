package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// allowsPool tells whether machines are of a kind and in a zone for the job.
func (in *Input) allowsPool(job *Job, pool *pool) bool {
	return job.Spec.Allows(pool.machineType, pool.zone, pool.spot) && (in.onlyZone == "" || in.onlyZone == pool.zone)
}

// rollBack undoes what a trial has changed.
func (in *Input) rollBack() {
	for _, undo := range slices.Backward(in.undo) {
		undo()
	}
	in.undo = in.undo[:0]
}

// candidateZones are the zones in which a gang can be placed, one after the other, if it has
// to be in one; else the one empty name stands for all of them together.
func (in *Input) candidateZones(spec *jobs.Spec) (zones []string) {
	if !spec.OneZone {
		return []string{""}
	}
	for _, pool := range in.Index.pools {
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
func (in *Input) scheduleGang(entry queueEntry, out *Output) {
	job := entry.Job
	if job.roomReserved || job.Pending == 0 || entry.starved && job.StarvedTasks == 0 || in.tasksWithinQuota(job, job.Pending) < job.Pending {
		return
	}
	in.trial = true
	defer func() { in.trial, in.onlyZone, in.undo = false, "", nil }()
	zones := in.candidateZones(job.Spec)
	best, fetchS := in.zoneWithSoonestStart(job, zones)
	if best >= 0 && job.StartWithinS > 0 && fetchS*slowFetchFactor > job.StartWithinS {
		// Its image would come too late: it starts sooner where that is, even if
		// something has to leave.
		in.onlyWithImage = true
		preempting := in.preemptForGang(job, zones, out)
		in.onlyWithImage = false
		if preempting {
			return
		}
	}
	if best >= 0 {
		in.placeWholeGang(entry, zones[best], out)
		return
	}
	if in.preemptForGang(job, zones, out) {
		return
	}
	if entry.starved || job.ReserveRoom {
		in.reserveForGang(job, zones)
		if entry.starved {
			return
		}
		job.roomReserved = true
	}
	out.Unmet = append(out.Unmet, Demand{job, job.Pending})
}

// placeWhatFits puts as many of a gang's tasks on machines as have room, in one zone if so
// named, and tells when the last of them will have its image.
func (in *Input) placeWhatFits(job *Job, zone string) (machines []*Machine, fetchS float64) {
	in.onlyZone = zone
	for len(machines) < job.Pending {
		machine := in.bestFit(job, false)
		if machine == nil {
			break
		}
		fetchS = max(fetchS, machine.imageFetchS(job.Spec))
		in.placeTask(job, machine)
		machines = append(machines, machine)
	}
	return machines, fetchS
}

// zoneWithSoonestStart returns the zone with room for all tasks in which the last one starts
// soonest, or -1, and how long its fetch takes.
func (in *Input) zoneWithSoonestStart(job *Job, zones []string) (best int, bestFetchS float64) {
	best = -1
	for i, zone := range zones {
		machines, fetchS := in.placeWhatFits(job, zone)
		in.rollBack()
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
func (in *Input) placeWholeGang(entry queueEntry, zone string, out *Output) {
	job := entry.Job
	machines, _ := in.placeWhatFits(job, zone)
	for _, machine := range machines {
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
	}
	job.Pending, job.StarvedTasks = 0, 0
}

// preemptForGang stops lower work for the tasks that find no room, if that makes room for
// all of them. Until it is free, what there is is kept.
func (in *Input) preemptForGang(job *Job, zones []string, out *Output) bool {
	if !in.preemptionPossible(job) {
		return false
	}
	best, cheapest := -1, 0
	for i, zone := range zones {
		var trial Output
		machines, _ := in.placeWhatFits(job, zone)
		if len(machines)+in.preemptFor(job, job.Pending-len(machines), &trial, nil) == job.Pending && (best < 0 || len(trial.Preemptions) < cheapest) {
			best, cheapest = i, len(trial.Preemptions)
		}
		in.rollBack()
	}
	if best < 0 {
		return false
	}
	machines, _ := in.placeWhatFits(job, zones[best])
	in.preemptFor(job, job.Pending-len(machines), out, nil)
	job.roomReserved = true
	out.Preempting = append(out.Preempting, job)
	return true
}

// loadTasks finds out what is on a machine, once in a plan.
func (in *Input) loadTasks(machine *Machine) {
	if in.LoadTasks != nil && !in.tasksLoaded[machine] {
		in.tasksLoaded[machine] = true
		in.LoadTasks(machine)
	}
}

// willFitEventually tells whether a gang fits into a zone once what ends by itself has ended.
func (in *Input) willFitEventually(job *Job, zone string) bool {
	in.onlyZone = zone
	request, count := TaskRequest(job.Spec), 0
	for _, pool := range in.Index.pools {
		if !in.allowsPool(job, pool) {
			continue
		}
		pool.each(func(machine *Machine) {
			if count >= job.Pending || !machine.accepts(job) {
				return
			}
			in.loadTasks(machine)
			room := machine.Free.AddTimes(machine.Releasing, 1)
			for _, task := range machine.Tasks {
				if task.Job.Spec.Ends() {
					room = room.AddTimes(TaskRequest(task.Job.Spec), 1)
				}
			}
			for ; count < job.Pending && room.Fits(request); count++ {
				room = room.AddTimes(request, -1)
			}
		})
	}
	return count >= job.Pending
}

// reserveForGang keeps room from others where most of a gang fits, if all of it ever will
// there: else it would wait for machines that are not rented yet, and others with it.
func (in *Input) reserveForGang(job *Job, zones []string) {
	best, most := -1, -1
	for i, zone := range zones {
		machines, _ := in.placeWhatFits(job, zone)
		in.rollBack()
		if len(machines) > most && in.willFitEventually(job, zone) {
			best, most = i, len(machines)
		}
	}
	if best < 0 {
		return
	}
	machines, _ := in.placeWhatFits(job, zones[best])
	left := job.Pending - len(machines)
	for left > 0 {
		machine := in.Index.emptiest(func(machine *Machine) bool {
			_, taken := in.originalFree[machine]
			return !taken && machine.Total.Fits(TaskRequest(job.Spec)) && machine.accepts(job) && (in.onlyZone == "" || machine.Zone == in.onlyZone)
		})
		if machine == nil {
			return
		}
		in.setFree(machine, Resources{})
		for room := machine.Total; left > 0 && room.Fits(TaskRequest(job.Spec)); left-- {
			room = room.AddTimes(TaskRequest(job.Spec), -1)
		}
	}
}
