package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// Revisions cannot be read for a while, though the watch goes on: what was read earlier is
// lower than what the watch has shown since, and that is no loss.
func TestUnreadRevisionIsNoLoss(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.within(time.Minute, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		leader := c.leader()
		end := c.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if from == leader && to == "state" && path == "/keys/nothing" {
				return emulator.RefuseConnection
			}
			return emulator.Deliver
		})
		for i := range 4 {
			c.submit(c.otherThan(leader), batchJob(fmt.Sprintf("j-%d", 10+i), 1, 3))
			c.advance(500 * time.Millisecond)
		}
		end()
		c.advance(10 * time.Second)
		if status := c.recoveryStatus(); len(status.Evidence) > 0 || status.Phase == "" {
			t.Errorf("a loss was noticed where there was none: %+v", status.Evidence)
		}
	})
}

// A job is accepted, and in the same moment the state service is put back to before that and
// has an outage: the only one to know of the job is the node that accepted it.
func TestAcceptedJustBeforeAPutBack(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.advance(20 * time.Second)
		before := c.world.Store.Backup()
		accepting := c.otherThan(c.leader())
		spec := batchJob("j-2", 1, 5)
		c.world.UploadSpec(spec)
		if status, _ := c.request("POST", accepting, "/v1/jobs", wireSpec(spec)); status != http.StatusCreated {
			t.Fatal("not accepted")
		}
		c.world.Store.SetOutage(true)
		c.world.Store.Restore(before)
		c.advance(10 * time.Second)
		c.world.Store.SetOutage(false)
		for range 30 {
			c.checkStateEverywhere("j-2", jobs.Queued, jobs.Running, jobs.Done, "503")
			c.advance(time.Second)
		}
		c.withinDone(time.Minute, "j-2")
	})
}
