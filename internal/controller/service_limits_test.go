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
	adjust := func(set *settings.Settings) { set.Deployment.Store.ValueKB, set.Deployment.Store.TxnOps = 1, 4 }
	runCluster(t, adjust, func(c *cluster) {
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 1 << 10, TxnOps: 4, WritesPerSecond: 1000}) // fewer than there are machines
		c.submit("perch-0", batchJob("j-1", 2500, 0.5))
		c.advance(45 * time.Second)
		c.crash(c.leader())
		c.advance(20 * time.Second)
		for _, key := range c.world.Store.Keys("") {
			if n := len(c.world.Store.Value(key)); n > 1024 {
				t.Errorf("%s has %d bytes", key, n)
			}
		}
		c.withinDone(20*time.Minute, "j-1")
		if n := c.world.TaskStarts(); n < 2500 || n > 2600 {
			t.Errorf("%d starts for 2500 tasks", n)
		}
	})
}

// The state service's limits fall without notice: in a burst, in an outage, in a
// change of leader. Nothing that was written before, or is on its way, is too large.
func TestLimitsFall(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 4
	adjust := func(set *settings.Settings) {
		set.Deployment.Store.Next = &settings.UpcomingStoreLimits{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	}
	lower := emulator.StoreLimits{ValueBytes: 2 << 10, TxnOps: 4, WritesPerSecond: 2 * 35} // a burst may come on top
	for _, tc := range []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"in a burst", func(c *cluster) { c.world.Store.SetLimits(lower) }},
		{"in an outage", func(c *cluster) {
			c.world.Store.SetOutage(true)
			c.advance(5 * time.Second)
			c.world.Store.SetLimits(lower)
			c.world.Store.SetOutage(false)
		}},
		{"in a change of leader", func(c *cluster) {
			c.crash(c.leader())
			c.world.Store.SetLimits(lower)
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
				if n := c.world.Store.RejectedTransactions(); n > 0 {
					t.Errorf("%d transactions were too large", n)
				}
				if n := c.world.TaskStarts(); n != 408 {
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
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 700, TxnOps: 12, WritesPerSecond: 1000})
		c.submit("perch-0", batchJob("j-3", 300, 5))
		c.submit("perch-1", batchJob("j-4", 300, 5))
		for _, id := range []string{"j-2", "j-3", "j-4"} {
			c.withinDone(5*time.Minute, id)
		}
		if n := c.world.Store.RejectedTransactions(); n == 0 || n > 20 {
			t.Errorf("%d transactions were rejected", n)
		}
	})
}

// Small values: what the records need not say is left out of them.
func TestSmallValues(t *testing.T) {
	valueKB := 2.0
	adjust := func(set *settings.Settings) {
		set.Deployment.Store.Next = &settings.UpcomingStoreLimits{ValueKB: &valueKB}
	}
	runCluster(t, adjust, func(c *cluster) {
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 2 << 10, TxnOps: 12, WritesPerSecond: 1000})
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
		c.world.Store.Put("job/j-2", raw)
		c.world.NoteSubmitted("j-2")
		c.world.UploadSpec(old)
		c.within(60*time.Second, "the old one runs", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		c.cancelJob("perch-1", "j-2")
		c.within(20*time.Second, "it is gone", func() bool { return c.tasksOnMachines("j-2", 2) == 0 })
		if n := c.world.Store.RejectedTransactions(); n > 0 {
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
	adjust := func(set *settings.Settings) {
		set.Deployment.Store.Next = &settings.UpcomingStoreLimits{ValueKB: &valueKB}
	}
	runClusterWith(t, types, adjust, func(c *cluster) {
		c.advance(20 * time.Second)
		c.world.SetCloudOutage(true)
		c.crash(c.names...)
		for _, n := range c.names {
			c.start(n)
		}
		c.advance(10 * time.Second)
		c.submit("perch-0", batchJob("j-1", 2, 5)) // 503 from a node that knows no types
		c.world.SetCloudOutage(false)
		c.withinDone(2*time.Minute, "j-1")
	})
}
