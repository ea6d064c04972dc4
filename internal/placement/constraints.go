package placement

import (
	"ospreyslip/internal/jobs"
)

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

// allowsPool tells whether machines are of a kind and in a zone for the job.
func (p *planner) allowsPool(job *Job, pool *pool) bool {
	return job.Spec.Allows(pool.machineType, pool.zone, pool.spot) && (p.onlyZone == "" || p.onlyZone == pool.zone)
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
