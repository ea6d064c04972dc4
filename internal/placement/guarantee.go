package placement

import (
	"ospreyslip/internal/settings"
)

// MarkGuaranteed marks the jobs that fit into their team's guarantee together with
// the team's earlier jobs. The jobs must be in order of acceptance.
func MarkGuaranteed(teams []settings.Team, jobsByAge []*Job) {
	requested := map[string]Resources{}
	for _, job := range jobsByAge {
		team := findTeam(teams, job.Spec.Team)
		total := requested[team.Name].AddTimes(TaskRequest(job.Spec), float64(job.Spec.Tasks))
		requested[team.Name] = total
		job.Guaranteed = team.CPUs+team.GPUs > 0 && Resources{team.CPUs, team.GPUs, total.RAMGB}.Fits(total)
	}
}

func findTeam(teams []settings.Team, name string) settings.Team {
	for _, team := range teams {
		if team.Name == name {
			return team
		}
	}
	return settings.Team{Name: name}
}

// mayReclaim tells whether a job takes what its team is guaranteed from others. Tasks
// end all the time, and what is guaranteed goes first where they do: a claim that
// can wait for that costs nobody the work of a task.
func (p *planner) mayReclaim(job *Job) bool { return job.Guaranteed && !job.ReclaimDeferred }

// exceedsGuarantee tells whether a team uses more than it is guaranteed.
func (p *planner) exceedsGuarantee(team string) bool {
	guarantee, used := findTeam(p.Teams, team), p.UsedByTeam[team]
	return used.CPUs > guarantee.CPUs+roundingTolerance || used.GPUs > guarantee.GPUs+roundingTolerance
}
