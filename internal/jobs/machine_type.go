package jobs

import (
	"errors"
	"fmt"

	"ospreyslip/internal/settings"
)

// Fits tells whether a task fits an empty machine of the type.
func (t *MachineType) Fits(s *Spec) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.RAMGB <= t.RAMGB
}

// CheckRunnable returns why a job can never run, or nil.
func CheckRunnable(s *Spec, types []MachineType, set *settings.Settings) error {
	team, ok := set.Team(s.Team)
	if !ok {
		return fmt.Errorf("crew %q is not known", s.Team)
	}
	zones := map[string]bool{}
	for _, t := range types {
		for _, z := range t.Zones {
			if t.Fits(s) && s.Allows(t.Name, z, false) {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return errors.New("a task fits no allowed machine type")
	}
	if s.Shape != Batch && s.ZoneLimit() < s.Tasks && (s.OneZone || len(zones) == 1) {
		return errors.New("all tasks run at a time, and no zone may have more than half of them")
	}
	n := 1.0
	if s.Shape != Batch {
		n = float64(s.Tasks)
	}
	if team.CPUsMax > 0 && n*s.CPUs > team.CPUsMax || team.GPUsMax > 0 && n*s.GPUs > team.GPUsMax {
		return fmt.Errorf("the job needs more than the limit of crew %q", s.Team)
	}
	return nil
}
