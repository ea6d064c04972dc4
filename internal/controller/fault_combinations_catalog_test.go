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
				scenario.checkAllServed(maxLargestJobWait)
				scenario.end(t)
			})
		})
	}
}
