package placement

// reserveEmptiest reserves for a starved job up to count machines: of those that the plan has not
// changed, the ones with the most free CPUs. No other job is placed on them, so they drain until a
// task of the job fits.
func (p *planner) reserveEmptiest(job *Job, count int) {
	for range count {
		machine := p.emptiestUnchanged(job)
		if machine == nil {
			return
		}
		p.setFree(machine, Resources{})
	}
}

// emptiestUnchanged returns the machine with the most free CPUs among those that the plan has not
// changed and that could hold a task of the job if they were empty. It returns nil if there is
// none.
func (p *planner) emptiestUnchanged(job *Job) *Machine {
	return p.Index.emptiest(func(machine *Machine) bool {
		_, changed := p.originalFree[machine]
		return !changed && machine.Total.Fits(TaskRequest(job.Spec)) && machine.Accepts(job.Spec) &&
			(p.onlyZone == "" || machine.Zone == p.onlyZone)
	})
}

// reserveForGang reserves capacity where most of a gang fits, provided that the whole gang will
// fit there once running tasks have ended. Otherwise the gang would wait for machines that are not
// provisioned yet, and the reservation would only delay other jobs.
func (p *planner) reserveForGang(job *Job, zones []string) {
	best, mostPlaced := -1, -1
	for i, zone := range zones {
		machines, _ := p.placeAsManyAsFit(job, zone)
		p.rollBack()
		if len(machines) > mostPlaced && p.willFitEventually(job, zone) {
			best, mostPlaced = i, len(machines)
		}
	}
	if best < 0 {
		return
	}
	machines, _ := p.placeAsManyAsFit(job, zones[best])
	for _, machine := range machines {
		job.TasksByZone[machine.Zone]-- // the capacity is reserved, but no task is placed
	}
	job.Reserved = append(job.Reserved, machines...)
	request := TaskRequest(job.Spec)
	remaining := job.Pending - len(machines)
	for remaining > 0 {
		machine := p.emptiestUnchanged(job)
		if machine == nil {
			return
		}
		p.setFree(machine, Resources{})
		job.Reserved = append(job.Reserved, machine)
		for room := machine.Total; remaining > 0 && room.Fits(request); remaining-- {
			room = room.AddTimes(request, -1)
		}
	}
}

// willFitEventually reports whether a gang fits into a zone, or into all zones if the name is
// empty, once the tasks that end by themselves have ended.
func (p *planner) willFitEventually(job *Job, zone string) bool {
	p.onlyZone = zone
	request, count := TaskRequest(job.Spec), 0
	for _, pool := range p.Index.pools {
		if !p.poolAllowed(job, pool) {
			continue
		}
		pool.each(func(machine *Machine) {
			if count >= job.Pending || !machine.Accepts(job.Spec) {
				return
			}
			p.loadTasks(machine)
			room := machine.Free.AddTimes(machine.Releasing, 1)
			for _, task := range machine.Tasks {
				if task.Job.Spec.RunsToCompletion() {
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
