package scaler

import (
	"cmp"
	"slices"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// machinesForGangs returns the IDs of the machines that must not be released because gangs without
// room wait for them: machines reserved by the last placement plan, and running machines on which
// gangs will be placed once further machines have booted.
func (s *Scaler) machinesForGangs(now time.Time, unmetDemand []placement.Demand) map[string]bool {
	var gangs []autoscaler.Demand
	var reserved []*placement.Machine
	for _, d := range unmetDemand {
		if d.Job.Spec.Shape == jobs.Gang {
			gangs = append(gangs, autoscaler.Demand{Spec: d.Job.Spec, TasksByZone: d.Job.TasksByZone, Count: d.Count})
			reserved = append(reserved, d.Job.Reserved...)
		}
	}
	if len(gangs) == 0 {
		return nil
	}
	existing, booting := s.supply(now)
	needed := autoscaler.MachinesForGangs(gangs, booting, autoscaler.Market{
		Types: s.deps.Catalog.Types(), MachineCounts: existing, Running: s.runningMachines(now, gangs),
	})
	for _, machine := range reserved {
		needed[machine.ID] = true
	}
	return needed
}

// runningMachines returns the machines that accept tasks and have free resources, the fullest first.
// It returns nil if there is no gang among the demands, since no other job can use these machines.
func (s *Scaler) runningMachines(now time.Time, demands []autoscaler.Demand) (running []*placement.Machine) {
	if !slices.ContainsFunc(demands, func(d autoscaler.Demand) bool { return d.Spec.Shape == jobs.Gang }) {
		return nil
	}
	for _, m := range s.deps.State.Machines.All {
		if m.Offer.Free.CPUs > 0 && s.host.IsUsable(m, now) {
			running = append(running, m.Offer)
		}
	}
	slices.SortFunc(running, func(a, b *placement.Machine) int {
		return cmp.Or(cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID))
	})
	return running
}
