package placement

import (
	"ospreyslip/internal/settings"
)

// MarkGuaranteed sets Guaranteed for each job that fits into its team's guarantee (its fair share)
// together with the team's earlier jobs. The jobs must be in order of acceptance.
func MarkGuaranteed(teams []settings.Team, jobsByAcceptance []*Job) {
	requested := map[string]Resources{}
	for _, job := range jobsByAcceptance {
		team := findTeam(teams, job.Spec.Team)
		total := requested[team.Name].AddTimes(TaskRequest(job.Spec), float64(job.Spec.Tasks))
		requested[team.Name] = total
		guarantee := total // only CPUs and GPUs are guaranteed
		guarantee.CPUs, guarantee.GPUs = team.GuaranteedCPUs, team.GuaranteedGPUs
		job.Guaranteed = team.GuaranteedCPUs+team.GuaranteedGPUs > 0 && guarantee.Fits(total)
	}
}

// findTeam returns the settings of a team. A team that is not configured has no guarantee and no
// quota.
func findTeam(teams []settings.Team, name string) settings.Team {
	for _, team := range teams {
		if team.Name == name {
			return team
		}
	}
	return settings.Team{Name: name}
}

// mayReclaim reports whether a job may preempt tasks of teams that exceed their guarantee. Tasks
// end all the time and guaranteed jobs are first to use the capacity that they release, so a job
// that can wait for it costs no other task its progress.
func (p *planner) mayReclaim(job *Job) bool { return job.Guaranteed && !job.ReclaimDeferred }

// exceedsGuarantee reports whether a team uses more than its guarantee.
func (p *planner) exceedsGuarantee(name string) bool {
	team, used := findTeam(p.Teams, name), p.UsedByTeam[name]
	return used.CPUs > team.GuaranteedCPUs+roundingTolerance || used.GPUs > team.GuaranteedGPUs+roundingTolerance
}
