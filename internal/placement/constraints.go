package placement

import (
	"ospreyslip/internal/jobs"
)

// TopologyAllows tells whether a job that has tasks in some zones may have one more in this
// one: by the zone limit of a job that is spread, and by the one zone of a job that wants that.
func TopologyAllows(spec *jobs.Spec, tasksByZone map[string]int, zone string) bool {
	if spec.OneZone {
		for other, tasks := range tasksByZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	return tasksByZone[zone] < spec.ZoneLimit()
}

// poolAllowed tells whether the job may use machines of a pool, and whether the plan looks at
// its zone just now.
func (p *planner) poolAllowed(job *Job, pool *pool) bool {
	return job.Spec.Allows(pool.machineType, pool.zone, pool.spot) && (p.onlyZone == "" || p.onlyZone == pool.zone)
}

// withinQuota returns how many of count tasks the job's team may still run by its quota.
func (p *planner) withinQuota(job *Job, count int) int {
	team := findTeam(p.Teams, job.Spec.Team)
	used, request := p.UsedByTeam[team.Name], TaskRequest(job.Spec)
	bound := func(quota, used, perTask float64) {
		if quota > 0 && perTask > 0 {
			count = min(count, max(0, int((quota-used+roundingTolerance)/perTask)))
		}
	}
	bound(team.MaxCPUs, used.CPUs, request.CPUs)
	bound(team.MaxGPUs, used.GPUs, request.GPUs)
	return count
}
