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
	// overrunShare is the expected remaining time of a task that has exceeded its run time, as a
	// fraction of that run time.
	overrunShare = 0.2
	// lateBootShare is the expected remaining time of a machine that has exceeded its boot time,
	// as a fraction of that boot time.
	lateBootShare = 1.0 / 8
)

// forecastMachines returns the machines that accept work now or will once they are up, in the form
// that the forecast takes, earliest first.
func (s *Scaler) forecastMachines(now time.Time) []autoscaler.MachineForecast {
	var machines []autoscaler.MachineForecast
	for _, m := range s.deps.State.Machines.All {
		machineType := s.deps.Catalog.Type(m.Type)
		if machineType == nil {
			continue
		}
		wait, available := s.timeUntilAvailable(m, now)
		if !available {
			continue
		}
		total := placement.MachineTotal(machineType)
		machines = append(machines, autoscaler.MachineForecast{
			MachinePool: poolOf(m), Offer: m.Offer, AvailableFromS: wait.Seconds(), Free: total.AddTimes(m.Used, -1), Releases: s.forecastReleases(m, now),
		})
	}
	slices.SortFunc(machines, func(a, b autoscaler.MachineForecast) int { return cmp.Compare(a.AvailableFromS, b.AvailableFromS) })
	return machines
}

// timeUntilAvailable returns how long it takes until a machine accepts work, and whether it will.
func (s *Scaler) timeUntilAvailable(machine *cluster.Machine, now time.Time) (wait time.Duration, available bool) {
	switch {
	case s.host.IsUsable(machine, now):
		return 0, true
	case s.isBootingOnTime(machine, now):
		boot := s.deps.Catalog.BootTime(machine.Type)
		return max(boot-now.Sub(machine.Cloud.KnownSince), cluster.ScaleDuration(boot, lateBootShare)), true
	}
	return 0, false
}

// isBootingOnTime reports whether a machine is booting and still expected to come up soon enough
// to be counted on.
func (s *Scaler) isBootingOnTime(machine *cluster.Machine, now time.Time) bool {
	slowAfter := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.SlowBootTimes)
	return machine.Phase == cluster.Booting && now.Sub(machine.Cloud.KnownSince) < slowAfter
}

// forecastReleases returns when the tasks on a machine are expected to end. Services never end.
func (s *Scaler) forecastReleases(machine *cluster.Machine, now time.Time) (releases []autoscaler.Release) {
	for _, a := range machine.Assignments {
		if a.Outcome != cluster.Open || !a.Job.Spec.RunsToCompletion() {
			continue
		}
		runS := s.host.RunTimeS(a.Job.Spec)
		leftS := runS - now.Sub(a.RunningSince).Seconds()
		if a.Stop.Requested || a.Job.IsFinished() {
			leftS = a.Stop.GraceS
		}
		releases = append(releases, autoscaler.Release{AtS: max(leftS, overrunShare*runS), Resources: placement.TaskRequest(a.Job.Spec)})
	}
	return releases
}
