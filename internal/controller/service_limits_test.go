package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Many tasks in one job: completions are kept in chunks that fit a value.
func TestManyTasks(t *testing.T) {
	adjust := func(set *settings.Settings) { set.Deployment.State.ValueKB, set.Deployment.State.TxnOps = 1, 4 }
	runCluster(t, adjust, func(c *cluster) {
		c.world.State.Limit(emulator.Limits{ValueBytes: 1 << 10, TxnOps: 4, Writes: 1000}) // fewer than there are machines
		c.submit("perch-0", batchJob("j-1", 2500, 0.5))
		c.advance(45 * time.Second)
		c.crash(c.leader())
		c.advance(20 * time.Second)
		for _, key := range c.world.State.Keys("") {
			if n := len(c.world.State.Value(key)); n > 1024 {
				t.Errorf("%s has %d bytes", key, n)
			}
		}
		c.withinDone(20*time.Minute, "j-1")
		if n := c.world.Starts(); n < 2500 || n > 2600 {
			t.Errorf("%d starts for 2500 tasks", n)
		}
	})
}

// The state service's limits fall without notice: in a burst, in an outage, in a
// change of leader. Nothing that was written before, or is on its way, is too large.
func TestLimitsFall(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 4
	adjust := func(set *settings.Settings) {
		set.Deployment.State.Next = &settings.NextState{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	}
	lower := emulator.Limits{ValueBytes: 2 << 10, TxnOps: 4, Writes: 2 * 35} // a burst may come on top
	for _, tc := range []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"in a burst", func(c *cluster) { c.world.State.Limit(lower) }},
		{"in an outage", func(c *cluster) {
			c.world.State.Down(true)
			c.advance(5 * time.Second)
			c.world.State.Limit(lower)
			c.world.State.Down(false)
		}},
		{"in a change of leader", func(c *cluster) {
			c.crash(c.leader())
			c.world.State.Limit(lower)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, adjust, func(c *cluster) {
				c.runServiceAndBatch()
				c.submit("perch-0", batchJob("j-3", 300, 5))
				c.submit("perch-1", batchJob("j-4", 100, 5))
				c.advance(3 * time.Second)
				tc.trouble(c)
				for _, id := range []string{"j-2", "j-3", "j-4"} {
					c.withinDone(10*time.Minute, id)
				}
				if n := c.world.State.Rejected(); n > 0 {
					t.Errorf("%d transactions were too large", n)
				}
				if n := c.world.Starts(); n != 408 {
					t.Errorf("%d starts for 408 tasks", n)
				}
			})
		})
	}
}

// The limits fall below what the settings say. What is rejected is not repeated as it
// is: smaller pages are tried, and the work goes on.
func TestLimitsLowerThanSaid(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.State.Limit(emulator.Limits{ValueBytes: 700, TxnOps: 12, Writes: 1000})
		c.submit("perch-0", batchJob("j-3", 300, 5))
		c.submit("perch-1", batchJob("j-4", 300, 5))
		for _, id := range []string{"j-2", "j-3", "j-4"} {
			c.withinDone(5*time.Minute, id)
		}
		if n := c.world.State.Rejected(); n == 0 || n > 20 {
			t.Errorf("%d transactions were rejected", n)
		}
	})
}

// Small values: what the records need not say is left out of them.
func TestSmallValues(t *testing.T) {
	valueKB := 2.0
	adjust := func(set *settings.Settings) { set.Deployment.State.Next = &settings.NextState{ValueKB: &valueKB} }
	runCluster(t, adjust, func(c *cluster) {
		c.world.State.Limit(emulator.Limits{ValueBytes: 2 << 10, TxnOps: 12, Writes: 1000})
		spec := batchJob("j-1", 2, 5)
		for i := range 300 {
			spec.Types = append(spec.Types, fmt.Sprint("of-another-cloud-", i))
		}
		spec.Types = append(spec.Types, "c4")
		c.submit("perch-0", spec)
		c.withinDone(60*time.Second, "j-1")

		// One that was accepted when values could be larger, and is cancelled now.
		old := batchJob("j-2", 2, 500)
		old.Types = spec.Types
		raw, _ := json.Marshal(jobs.Record{State: jobs.Queued, Tasks: 2, Spec: old})
		c.world.State.Put("job/j-2", raw)
		c.world.Submitted("j-2")
		c.world.Upload(old)
		c.within(60*time.Second, "the old one runs", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		c.cancelJob("perch-1", "j-2")
		c.within(20*time.Second, "it is gone", func() bool { return c.tasksOnMachines("j-2", 2) == 0 })
		if n := c.world.State.Rejected(); n > 0 {
			t.Errorf("%d transactions were too large", n)
		}
	})
}

// A catalog that does not fit into one value is kept in parts, for a node that starts
// while the cloud is away.
func TestLargeCatalog(t *testing.T) {
	types := slices.Clone(testMachineTypes) // those of all tests that run beside this one stay as they are
	for i := range 30 {
		another := types[0]
		another.Name, another.Price, another.SpotPrice = fmt.Sprint("dear-", i), 100, 50
		types = append(types, another)
	}
	valueKB := 2.0
	adjust := func(set *settings.Settings) { set.Deployment.State.Next = &settings.NextState{ValueKB: &valueKB} }
	runClusterWith(t, types, adjust, func(c *cluster) {
		c.advance(20 * time.Second)
		c.world.CloudDown(true)
		c.crash(c.names...)
		for _, n := range c.names {
			c.start(n)
		}
		c.advance(10 * time.Second)
		c.submit("perch-0", batchJob("j-1", 2, 5)) // 503 from a node that knows no types
		c.world.CloudDown(false)
		c.withinDone(2*time.Minute, "j-1")
	})
}
