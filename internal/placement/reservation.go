package placement

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

// reserveForGang keeps room from others where most of a gang fits, if all of it ever will
// there: else it would wait for machines that are not rented yet, and others with it.
func (p *planner) reserveForGang(job *Job, zones []string) {
	best, most := -1, -1
	for i, zone := range zones {
		machines, _ := p.placeWhatFits(job, zone)
		p.rollBack()
		if len(machines) > most && p.willFitEventually(job, zone) {
			best, most = i, len(machines)
		}
	}
	if best < 0 {
		return
	}
	machines, _ := p.placeWhatFits(job, zones[best])
	left := job.Pending - len(machines)
	for left > 0 {
		machine := p.Index.emptiest(func(machine *Machine) bool {
			_, taken := p.originalFree[machine]
			return !taken && machine.Total.Fits(TaskRequest(job.Spec)) && machine.accepts(job) && (p.onlyZone == "" || machine.Zone == p.onlyZone)
		})
		if machine == nil {
			return
		}
		p.setFree(machine, Resources{})
		for room := machine.Total; left > 0 && room.Fits(TaskRequest(job.Spec)); left-- {
			room = room.AddTimes(TaskRequest(job.Spec), -1)
		}
	}
}

// willFitEventually tells whether a gang fits into a zone once what ends by itself has ended.
func (p *planner) willFitEventually(job *Job, zone string) bool {
	p.onlyZone = zone
	request, count := TaskRequest(job.Spec), 0
	for _, pool := range p.Index.pools {
		if !p.allowsPool(job, pool) {
			continue
		}
		pool.each(func(machine *Machine) {
			if count >= job.Pending || !machine.accepts(job) {
				return
			}
			p.loadTasks(machine)
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
