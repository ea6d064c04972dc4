package placement

import (
	"ospreyslip/internal/settings"
)

// MarkGuaranteed marks the jobs that fit into their team's guarantee together with
// the team's earlier jobs. The jobs must be in order of acceptance.
func MarkGuaranteed(teams []settings.Team, all []*Job) {
	sum := map[string]Resources{}
	for _, j := range all {
		t := teamOf(teams, j.Spec.Team)
		total := sum[t.Name].AddTimes(TaskRequest(j.Spec), float64(j.Spec.Tasks))
		sum[t.Name] = total
		j.Guaranteed = t.CPUs+t.GPUs > 0 && Resources{t.CPUs, t.GPUs, total.RAMGB}.Fits(total)
	}
}

func teamOf(teams []settings.Team, name string) settings.Team {
	for _, t := range teams {
		if t.Name == name {
			return t
		}
	}
	return settings.Team{Name: name}
}
