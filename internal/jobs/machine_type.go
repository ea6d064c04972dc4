package jobs

import (
	"errors"

	"ospreyslip/internal/settings"
)

// Fits reports whether an empty machine of the type has enough CPUs, GPUs and memory for a task.
func (t *MachineType) Fits(spec *Spec) bool {
	return spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.RAMGB <= t.RAMGB
}

// Errors for a job that can never run. Their texts are shown to users, as are those of
// UnknownTeamError and TeamLimitError.
var (
	ErrFitsNoMachineType = errors.New("a task fits no allowed machine type")
	ErrNeedsTwoZones     = errors.New("all tasks run at a time, and no zone may have more than half of them")
)

// CheckRunnable returns an error if the job can never run with the given machine types and its
// team's limits: an UnknownTeamError, ErrFitsNoMachineType, ErrNeedsTwoZones or a TeamLimitError.
// It returns nil otherwise.
func CheckRunnable(spec *Spec, types []MachineType, config *settings.Settings) error {
	team, ok := config.Team(spec.Team)
	if !ok {
		return UnknownTeamError{Team: spec.Team}
	}
	zones := zonesThatFit(spec, types)
	if zones == 0 {
		return ErrFitsNoMachineType
	}
	if spec.Shape != Batch && spec.ZoneLimit() < spec.Tasks && (spec.OneZone || zones == 1) {
		return ErrNeedsTwoZones
	}
	concurrentTasks := 1.0 // the minimum number of tasks that run at the same time
	if spec.Shape != Batch {
		concurrentTasks = float64(spec.Tasks)
	}
	if team.MaxCPUs > 0 && concurrentTasks*spec.CPUs > team.MaxCPUs || team.MaxGPUs > 0 && concurrentTasks*spec.GPUs > team.MaxGPUs {
		return TeamLimitError{Team: spec.Team}
	}
	return nil
}

// zonesThatFit returns the number of zones that offer, as on-demand machines, a type on which a
// task may run.
func zonesThatFit(spec *Spec, types []MachineType) int {
	zones := map[string]bool{}
	for _, machineType := range types {
		for _, zone := range machineType.Zones {
			if machineType.Fits(spec) && spec.Allows(machineType.Name, zone, false) {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}
