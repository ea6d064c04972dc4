package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// A job is guaranteed only if it fits into the guarantee together with the team's earlier jobs.
func TestMarkGuaranteed(t *testing.T) {
	teams := []settings.Team{{Name: "red", GuaranteedCPUs: 4}, {Name: "blue"}}
	all := []*Job{newJob("j-1", 2, 1, nil), newJob("j-2", 3, 1, nil), newJob("j-3", 2, 1, nil), newJob("j-4", 1, 1, func(s *jobs.Spec) { s.Team = "blue" })}
	MarkGuaranteed(teams, all)
	got := []bool{}
	for _, j := range all {
		got = append(got, j.Guaranteed)
	}
	if d := cmp.Diff([]bool{true, false, false, false}, got); d != "" {
		t.Error(d)
	}
}
