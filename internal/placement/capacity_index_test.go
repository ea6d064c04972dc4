package placement

import (
	"fmt"
	"testing"
)

// The cost of placing a task must not grow with the number of machines: most machines are full,
// and a search must not visit them. Visits are counted rather than timed.
func TestSearchVisitsFewMachines(t *testing.T) {
	countVisits := func(machines int) (n int) {
		index := &CapacityIndex{}
		for i := range machines {
			m := newMachine(fmt.Sprintf("a%d", i), 0.5)
			m.AvoidJobs = nil
			index.Insert(m)
		}
		index.Insert(newMachine("b1", 4))
		for _, pool := range index.pools {
			pool.eachWithCPUs(Resources{CPUs: 1}, func(*Machine) bool { n++; return true })
		}
		return n
	}
	if few, many := countVisits(25), countVisits(2500); few != many {
		t.Errorf("search visited %d of 25 machines, but %d of 2500", few, many)
	}
}
