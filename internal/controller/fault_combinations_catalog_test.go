package controller

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
)

// catalogWithExpensiveTypes returns the usual machine type and count others that cost far more.
func catalogWithExpensiveTypes(count int) []jobs.MachineType {
	types := slices.Clone(testMachineTypes)
	for number := range count {
		expensive := testMachineTypes[0]
		expensive.Name = fmt.Sprint("expensive-", number)
		expensive.Price, expensive.SpotPrice = 100, 50
		types = append(types, expensive)
	}
	return types
}

// TestRandomFaultsWithLargeCatalog guards against jobs that wait indefinitely for machines: the days
// of TestRandomFaultCombinations with a cloud that offers many machine types and has few machines
// left. After the faults, all jobs finish and all services run within the protocol's bounds.
func TestRandomFaultsWithLargeCatalog(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runClusterWith(t, catalogWithExpensiveTypes(30), nil, func(c *cluster) {
				scenario := newFaultScenario(c, seed)
				scenario.faults.run(time.Now(), 230*time.Second)
				c.advance(76 * time.Second)
				c.waitFor(maxLargestJobWait, "all jobs finished", func() bool {
					return !slices.ContainsFunc(scenario.finiteJobs, scenario.isUnfinished)
				})
				c.waitFor(30*time.Second, "services running", func() bool {
					return !slices.ContainsFunc(scenario.services, scenario.isServiceDown)
				})
				scenario.users.stop()
				if t.Failed() {
					t.Log(c.queueSummary())
					t.Log(c.world.Trace())
				}
			})
		})
	}
}

// isUnfinished reports whether a job was accepted and its user was not told that it is finished.
func (s *faultScenario) isUnfinished(spec *jobs.Spec) bool {
	return s.cluster.world.IsJobAccepted(spec.ID) && !s.users.toldFinished(spec.ID)
}

// isServiceDown reports whether a service was accepted and not exactly all its tasks are on machines.
func (s *faultScenario) isServiceDown(spec *jobs.Spec) bool {
	return s.cluster.world.IsJobAccepted(spec.ID) && s.cluster.tasksOnMachines(spec.ID, spec.Tasks) != spec.Tasks
}
