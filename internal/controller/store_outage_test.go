package controller

import (
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
)

// A leader that the state service refuses must fall silent to workers before
// another can lead.
func TestLeaderRefusedByState(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.within(40*time.Second, "service up", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		old := c.leader()
		c.world.Store.SetRefused(old, true)
		c.withinAnotherLeader(15*time.Second, old)
		c.advance(30 * time.Second)
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 2 {
			t.Errorf("the move cost replicas: %d starts", c.world.TaskStarts())
		}
		c.world.Store.SetRefused(old, false)
		c.advance(10 * time.Second)
	})
}

// While no node reaches the state service, the others' promises let the leader
// keep the workers' leases: running work survives, and nothing new is begun.
func TestStateOutage(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Store.SetOutage(true)
		if status, _ := c.request("POST", "perch-0", "/v1/jobs", wireSpec(batchJob("j-3", 1, 1))); status != http.StatusServiceUnavailable {
			t.Errorf("submission during an outage: %d", status)
		}
		c.advance(time.Minute)
		c.world.Store.SetOutage(false)
		c.withinDone(30*time.Second, "j-2")
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 8 {
			t.Errorf("the outage cost work: %d starts for 8 tasks", c.world.TaskStarts())
		}
	})
}

// A token raised within the term, to end a doubt, must not make the others take
// the holder for one that has been succeeded, and refuse their promises.
func TestOutageAfterRaisedToken(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == "/orders" {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		token := string(c.world.Store.Value("term/token"))
		c.submit("perch-0", batchJob("j-3", 2, 1))
		c.withinDone(60*time.Second, "j-3")
		if string(c.world.Store.Value("term/token")) == token {
			t.Fatal("no token was raised")
		}
		c.world.Network.SetFaults(nil)
		c.advance(10 * time.Second)
		c.world.Store.SetOutage(true)
		c.advance(time.Minute)
		c.world.Store.SetOutage(false)
		if n := c.tasksOnMachines("j-1", 2); n != 2 {
			t.Errorf("%d of 2 replicas after the outage", n)
		}
	})
}

// Without every promise the leader falls silent, and the work ends with the
// workers' leases. It must not end in two leaders.
func TestOutageWithoutPromises(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		old := c.leader()
		c.world.Network.SetFaults(func(from, to, path string) emulator.Fault {
			if path == emulator.Stream {
				return emulator.RefuseConnection
			}
			return emulator.Deliver
		})
		c.world.Store.SetOutage(true)
		c.advance(30 * time.Second)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 6); n != 0 {
			t.Errorf("%d tasks outlived their leases under leader %s", n, old)
		}
		c.world.Store.SetOutage(false)
		c.world.Network.SetFaults(nil)
		c.withinDone(3*time.Minute, "j-2")
	})
}

// A follower that restarts during an outage has forgotten its promise. When the
// outage ends for it before it does for the leader, it waits the promise out.
func TestRestartAmidPromises(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		old := c.leader()
		c.world.Store.SetOutage(true)
		c.advance(10 * time.Second)
		for _, n := range c.names {
			if n != old {
				c.crash(n)
				c.advance(300 * time.Millisecond)
				c.start(n)
			}
		}
		c.world.Store.SetRefused(old, true)
		c.world.Store.SetOutage(false)
		c.withinAnotherLeader(30*time.Second, old)
		c.advance(20 * time.Second)
		c.world.Store.SetRefused(old, false)
		c.withinDone(3*time.Minute, "j-2")
	})
}

// A user cancels at a node that the state service serves, while it refuses the
// leader alone: the leader gets no promises and may not keep the job alive.
func TestCancelWhileLeaderIsRefused(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		old := c.leader()
		c.world.Store.SetRefused(old, true)
		c.advance(time.Second)
		for _, n := range c.names {
			if n != old {
				c.cancelJob(n, "j-1")
				break
			}
		}
		c.within(30*time.Second, "replicas gone", func() bool { return c.tasksOnMachines("j-1", 2) == 0 })
		c.world.Store.SetRefused(old, false)
	})
}
