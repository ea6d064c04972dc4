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

// TestCompletionsFitValueLimit checks that the completions of a job with many tasks are stored in
// chunks that fit the store's value limit.
func TestCompletionsFitValueLimit(t *testing.T) {
	adjust := func(set *settings.Settings) { set.Deployment.Store.ValueKB, set.Deployment.Store.TxnOps = 1, 4 }
	runCluster(t, adjust, func(c *cluster) {
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 1 << 10, TxnOps: 4, WritesPerSecond: 1000}) // TxnOps: fewer than there are machines
		c.submit("perch-0", batchJob("j-1", 2500, 0.5))
		c.advance(45 * time.Second)
		c.crash(c.leader())
		c.advance(20 * time.Second)
		for _, key := range c.world.Store.Keys("") {
			if n := len(c.world.Store.Value(key)); n > 1024 {
				t.Errorf("%s has %d bytes", key, n)
			}
		}
		c.waitForDone(20*time.Minute, "j-1")
		if n := c.world.TaskStarts(); n < 2500 || n > 2600 {
			t.Errorf("%d starts for 2500 tasks", n)
		}
	})
}

// TestStoreLimitsLowered checks that no transaction exceeds the announced lower limits when the
// store switches to them without notice in a burst of submissions, in an outage, or in a failover.
func TestStoreLimitsLowered(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 4
	adjust := func(set *settings.Settings) {
		set.Deployment.Store.Next = &settings.UpcomingStoreLimits{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	}
	lower := emulator.StoreLimits{ValueBytes: 2 << 10, TxnOps: 4, WritesPerSecond: 2 * 35} // leaves room for a burst
	for _, tc := range []struct {
		name        string
		lowerLimits func(c *cluster)
	}{
		{"in a burst", func(c *cluster) { c.world.Store.SetLimits(lower) }},
		{"in an outage", func(c *cluster) {
			c.world.Store.SetOutage(true)
			c.advance(5 * time.Second)
			c.world.Store.SetLimits(lower)
			c.world.Store.SetOutage(false)
		}},
		{"in a failover", func(c *cluster) {
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
				tc.lowerLimits(c)
				for _, id := range []string{"j-2", "j-3", "j-4"} {
					c.waitForDone(10*time.Minute, id)
				}
				if n := c.world.Store.RejectedTransactions(); n > 0 {
					t.Errorf("%d transactions exceeded the limits", n)
				}
				if n := c.world.TaskStarts(); n != 408 {
					t.Errorf("%d starts for 408 tasks", n)
				}
			})
		})
	}
}

// TestStoreLimitsBelowSettings checks that work goes on when the store's limits fall below those in
// the settings: a rejected transaction is not repeated as it is, but split into smaller ones.
func TestStoreLimitsBelowSettings(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 700, TxnOps: 12, WritesPerSecond: 1000})
		c.submit("perch-0", batchJob("j-3", 300, 5))
		c.submit("perch-1", batchJob("j-4", 300, 5))
		for _, id := range []string{"j-2", "j-3", "j-4"} {
			c.waitForDone(5*time.Minute, id)
		}
		if n := c.world.Store.RejectedTransactions(); n == 0 || n > 20 {
			t.Errorf("%d transactions were rejected", n)
		}
	})
}

// TestRecordsFitSmallValues checks that records omit what they need not contain, so that they fit a
// low value limit.
func TestRecordsFitSmallValues(t *testing.T) {
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
		c.waitForDone(60*time.Second, "j-1")

		// A job that was accepted under a higher value limit can still be cancelled.
		old := batchJob("j-2", 2, 500)
		old.Types = spec.Types
		raw, _ := json.Marshal(jobs.Record{State: jobs.Queued, Tasks: 2, Spec: old})
		c.world.Store.Put("job/j-2", raw)
		c.world.RecordSubmission("j-2")
		c.world.UploadSpec(old)
		c.waitFor(60*time.Second, "j-2 running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		c.cancelJob("perch-1", "j-2")
		c.waitFor(20*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-2", 2) == 0 })
		if n := c.world.Store.RejectedTransactions(); n > 0 {
			t.Errorf("%d transactions exceeded the limits", n)
		}
	})
}

// TestLargeCatalog checks that a catalog of machine types that exceeds the value limit is stored in
// parts, so that a controller that starts during an outage of the cloud can load it.
func TestLargeCatalog(t *testing.T) {
	types := slices.Clone(testMachineTypes) // a copy, because parallel tests share testMachineTypes
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
		c.submit("perch-0", batchJob("j-1", 2, 5)) // a controller without machine types would respond with 503
		c.world.SetCloudOutage(false)
		c.waitForDone(2*time.Minute, "j-1")
	})
}
