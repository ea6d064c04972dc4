package controller

import (
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
)

// TestLeaderRefusedByStore checks that a leader that the store refuses stops responding to workers
// before another controller can lead, and that the failover costs no replica.
func TestLeaderRefusedByStore(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.waitFor(40*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		old := c.leader()
		c.world.Store.SetRefused(old, true)
		c.waitForNewLeader(15*time.Second, old)
		c.advance(30 * time.Second)
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 2 {
			t.Errorf("the failover restarted replicas: %d starts", c.world.TaskStarts())
		}
		c.world.Store.SetRefused(old, false)
		c.advance(10 * time.Second)
	})
}

// TestStoreOutage checks that running tasks survive an outage of the store, and that no job is
// accepted and no task started in it. While no controller reaches the store, a peer lease lets the
// leader go on renewing the workers' leases.
func TestStoreOutage(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Store.SetOutage(true)
		if status, _ := c.request("POST", "perch-0", "/v1/jobs", wireSpec(batchJob("j-3", 1, 1))); status != http.StatusServiceUnavailable {
			t.Errorf("submission during an outage: %d", status)
		}
		c.advance(time.Minute)
		c.world.Store.SetOutage(false)
		c.waitForDone(30*time.Second, "j-2")
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 8 {
			t.Errorf("the outage restarted tasks: %d starts for 8 tasks", c.world.TaskStarts())
		}
	})
}

// TestOutageAfterRaisedToken guards against refused lease grants. The leader raises its fencing
// token within the term to resolve a command whose outcome is unknown; its peers must not conclude
// that another leader has succeeded it.
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
		c.waitForDone(60*time.Second, "j-3")
		if string(c.world.Store.Value("term/token")) == token {
			t.Fatal("the token was not raised")
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

// TestOutageWithoutPeerLease checks that a leader without a lease grant of every peer stops
// responding to workers in an outage of the store, so that tasks end when the workers' leases
// expire and there are never two leaders.
func TestOutageWithoutPeerLease(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		old := c.leader()
		c.world.Network.SetFaults(func(from, to, path string) emulator.Fault {
			if path == emulator.StreamPath {
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
		c.waitForDone(3*time.Minute, "j-2")
	})
}

// TestFollowerRestartDuringPeerLease guards against two leaders. A follower that restarts during an
// outage of the store has lost its lease grant; if it reaches the store before the leader does, it
// has to wait until that grant has expired.
func TestFollowerRestartDuringPeerLease(t *testing.T) {
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
		c.waitForNewLeader(30*time.Second, old)
		c.advance(20 * time.Second)
		c.world.Store.SetRefused(old, false)
		c.waitForDone(3*time.Minute, "j-2")
	})
}

// TestCancelWhileLeaderIsRefused checks that a cancellation takes effect when the store refuses the
// leader alone: the leader gets no lease grants and may not keep the job's tasks running.
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
		c.waitFor(30*time.Second, "replicas stopped", func() bool { return c.tasksOnMachines("j-1", 2) == 0 })
		c.world.Store.SetRefused(old, false)
	})
}
