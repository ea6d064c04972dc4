package controller

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
)

// TestExtremeEstimates guards against arrays that are never begun, and machines that are provisioned for nothing, because
// of what their owners say of their run times. A later job of the same class must not suffer from it.
func TestExtremeEstimates(t *testing.T) {
	const actualS = 10
	for _, estimateS := range []float64{0, math.SmallestNonzeroFloat64, 1e-9, 0.3, 3600, 1e9, math.MaxFloat64} {
		t.Run(fmt.Sprint(estimateS), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.world.RunTimeOf = func(*jobs.Spec, int) float64 { return actualS }
				c.submit("perch-0", batchJob("j-1", 6, estimateS))
				c.waitForDone(90*time.Second, "j-1")
				for i := range 4 {
					c.submit("perch-0", batchJob(fmt.Sprintf("j-2%d", i), 12, estimateS))
				}
				c.advance(60 * time.Second)
				c.submit("perch-0", batchJob("j-3", 12, actualS))
				c.waitForDone(90*time.Second, "j-3")
				for i := range 4 {
					c.waitForDone(120*time.Second, fmt.Sprintf("j-2%d", i))
				}
				if starts := c.world.TaskStarts(); starts != 6+4*12+12 {
					t.Errorf("%d starts for %d tasks", starts, 6+4*12+12)
				}
				if machines := len(c.world.Machines()); machines > 20 {
					t.Errorf("%d machines for 66 tasks, 4 of which fit on one", machines)
				}
			})
		})
	}
}
