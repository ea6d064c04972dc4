package placement

import (
	"fmt"
	"testing"
)

// What a task costs to place must not grow with the fleet: most machines are
// full, and they must not be looked at. Counted, not timed.
func TestBestFitLooksAtFewMachines(t *testing.T) {
	looked := func(machines int) (n int) {
		index := &CapacityIndex{}
		for i := range machines {
			m := newMachine(fmt.Sprintf("a%d", i), 0.5)
			m.AvoidJobs = nil
			index.Insert(m)
		}
		index.Insert(newMachine("b1", 4))
		for _, k := range index.pools {
			k.eachWithCPUs(Resources{CPUs: 1}, func(*Machine) bool { n++; return true })
		}
		return n
	}
	if few, many := looked(25), looked(2500); few != many {
		t.Errorf("%d machines looked at in a fleet of 25, %d in one of 2500", few, many)
	}
}
