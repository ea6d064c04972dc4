package scaler

import (
	"cmp"
	"slices"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

const (
	// overrunShare is the part of its run time for which a task is expected to run on that
	// should be over by now.
	overrunShare = 0.2
	// lateBootShare is the part of its boot time for which a machine is expected to go on
	// booting that should be up by now.
	lateBootShare = 1.0 / 8
)

// forecastRooms is the machines that take work now or once they are up, as the forecast sees
// them, the earliest first.
func (s *Scaler) forecastRooms(now time.Time) []autoscaler.MachineForecast {
	var rooms []autoscaler.MachineForecast
	for _, m := range s.deps.State.Machines.All {
		machineType := s.deps.Catalog.Type(m.Type)
		if machineType == nil {
			continue
		}
		from, takesWork := s.takesWorkIn(m, now)
		if !takesWork {
			continue
		}
		total := placement.MachineTotal(machineType)
		rooms = append(rooms, autoscaler.MachineForecast{
			MachinePool: kindOf(m), AvailableFromS: from.Seconds(), Free: total.AddTimes(m.Used, -1), Releases: s.forecastLeaves(m, now),
		})
	}
	slices.SortFunc(rooms, func(a, b autoscaler.MachineForecast) int { return cmp.Compare(a.AvailableFromS, b.AvailableFromS) })
	return rooms
}

// takesWorkIn is how long it takes until a machine takes work, if it does.
func (s *Scaler) takesWorkIn(machine *cluster.Machine, now time.Time) (wait time.Duration, takesWork bool) {
	switch {
	case s.host.IsUsable(machine, now):
		return 0, true
	case s.isBootingInTime(machine, now):
		boot := s.deps.Catalog.BootTime(machine.Type)
		return max(boot-now.Sub(machine.Rental.KnownSince), cluster.ScaleDuration(boot, lateBootShare)), true
	}
	return 0, false
}

// isBootingInTime tells whether a machine boots, and not for so long that it must not be
// counted on.
func (s *Scaler) isBootingInTime(machine *cluster.Machine, now time.Time) bool {
	slow := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.SlowBootTimes)
	return machine.Phase == cluster.Booting && now.Sub(machine.Rental.KnownSince) < slow
}

// forecastLeaves is when the tasks on a machine are expected to leave it. Services never do.
func (s *Scaler) forecastLeaves(machine *cluster.Machine, now time.Time) (leaves []autoscaler.Release) {
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || !a.Job.Spec.RunsToCompletion() {
			continue
		}
		runS := s.host.RunTimeS(a.Job.Spec)
		leftS := runS - now.Sub(a.RunningSince).Seconds()
		if a.Stop.Requested || a.Job.IsOver() {
			leftS = a.Stop.GraceS
		}
		leaves = append(leaves, autoscaler.Release{AtS: max(leftS, overrunShare*runS), Resources: placement.TaskRequest(a.Job.Spec)})
	}
	return leaves
}
