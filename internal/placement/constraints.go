package placement

import (
	"ospreyslip/internal/jobs"
)

// TopologyAllows reports whether a job with the given number of tasks in each zone may have one
// more in zone. A job that is spread has a limit per zone, and a job with OneZone keeps all its
// tasks in the same zone.
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

// poolAllowed reports whether the job may use machines of a pool, and the planner is not currently
// restricted to another zone.
func (p *planner) poolAllowed(job *Job, pool *pool) bool {
	return job.Spec.Allows(pool.machineType, pool.zone, pool.spot) && (p.onlyZone == "" || p.onlyZone == pool.zone)
}

// withinQuota returns how many of count further tasks the quota of the job's team allows.
func (p *planner) withinQuota(job *Job, count int) int {
	team := findTeam(p.Teams, job.Spec.Team)
	used, request := p.UsedByTeam[team.Name], TaskRequest(job.Spec)
	limitBy := func(quota, used, perTask float64) {
		if quota > 0 && perTask > 0 {
			count = min(count, max(0, int((quota-used+roundingTolerance)/perTask)))
		}
	}
	limitBy(team.MaxCPUs, used.CPUs, request.CPUs)
	limitBy(team.MaxGPUs, used.GPUs, request.GPUs)
	return count
}
