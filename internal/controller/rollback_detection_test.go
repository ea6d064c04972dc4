package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// TestStaleRevisionIsNoLoss guards against a false detection of a rollback. While the leader cannot
// read the store's revision but its watch continues, the revision read last is lower than those
// that the watch has shown since; that is no evidence of a loss.
func TestStaleRevisionIsNoLoss(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.waitFor(time.Minute, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		leader := c.leader()
		end := c.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if from == leader && to == "state" && path == "/keys/nothing" {
				return emulator.RefuseConnection
			}
			return emulator.Deliver
		})
		for i := range 4 {
			c.submit(c.controllerOtherThan(leader), batchJob(fmt.Sprintf("j-%d", 10+i), 1, 3))
			c.advance(500 * time.Millisecond)
		}
		end()
		c.advance(10 * time.Second)
		if status := c.recoveryStatus(); len(status.Evidence) > 0 || status.Phase == "" {
			t.Errorf("a loss was detected although nothing was lost: %+v", status.Evidence)
		}
	})
}

// TestJobAcceptedJustBeforeRollback checks that a job survives when the store goes down right after
// accepting it and is rolled back to before that: only the accepting controller knows of the job.
func TestJobAcceptedJustBeforeRollback(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.advance(20 * time.Second)
		before := c.world.Store.Backup()
		accepting := c.controllerOtherThan(c.leader())
		spec := batchJob("j-2", 1, 5)
		c.world.UploadSpec(spec)
		if status, _ := c.request("POST", accepting, "/v1/jobs", wireSpec(spec)); status != http.StatusCreated {
			t.Fatal("the job was not accepted")
		}
		c.world.Store.SetOutage(true)
		c.world.Store.Restore(before)
		c.advance(10 * time.Second)
		c.world.Store.SetOutage(false)
		for range 30 {
			c.checkStateEverywhere("j-2", jobs.Queued, jobs.Running, jobs.Done, "503")
			c.advance(time.Second)
		}
		c.waitForDone(time.Minute, "j-2")
	})
}
