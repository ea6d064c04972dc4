package controller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// TestMachineCannotReceive checks what happens to a machine whose heartbeats arrive while no
// response and no command reaches it: it gets no more tasks, its tasks run elsewhere in time, it is
// released, and tasks of a job cancelled meanwhile end with its lease.
func TestMachineCannotReceive(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.submit("perch-0", batchJob("j-2", 20, 300))
		c.waitFor(60*time.Second, "all tasks running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 20) == 20 })
		unreachable := c.world.MachinesOf("j-1/0")[0]
		c.world.Network.SetFaults(func(from, to, _ string) emulator.Fault {
			switch {
			case from == unreachable:
				return emulator.DropResponse
			case to == unreachable:
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		c.cancelJob("perch-2", "j-2")
		c.waitFor(45*time.Second, "service running on other machines", func() bool {
			return c.tasksOnMachines("j-1", 2) == 2 && !slices.Contains(c.world.MachinesOf("j-1/0"), unreachable)
		})
		c.waitFor(60*time.Second, "machine released", func() bool { return !slices.Contains(c.world.Machines(), unreachable) })
		if n := c.tasksOnMachines("j-2", 20); n != 0 {
			t.Errorf("%d tasks of a cancelled job are running", n)
		}
	})
}

// TestEveryRequestDeliveredTwice checks that requests are safe to execute twice. Every request is
// executed again much later: heartbeats, commands, transactions, lease grants and renewals,
// provisioning, releases, submissions and cancellations. Meanwhile a machine fails and the leader
// changes.
func TestEveryRequestDeliveredTwice(t *testing.T) {
	for _, late := range []time.Duration{3 * time.Second, 12 * time.Second, 35 * time.Second, 70 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.world.Network.Delay = late
				deliverTwice := func(_, _, path string) emulator.Fault {
					if path == emulator.StreamPath {
						return emulator.Deliver
					}
					return emulator.DeliverTwice
				}
				c.world.Network.SetFaults(deliverTwice)
				c.submit("perch-0", serviceJob("j-1", 2))
				bestEffortJob := batchJob("j-2", 16, 25)
				bestEffortJob.Priority, bestEffortJob.CheckpointIntervalS, bestEffortJob.CheckpointSaveS = jobs.BestEffort, 5, 1
				c.submit("perch-0", bestEffortJob)
				c.submit("perch-1", batchJob("j-3", 12, 200))
				c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
				c.world.KillMachine(c.world.MachinesOf("j-1/1")[0])
				c.advance(20 * time.Second)
				c.cancelJob("perch-1", "j-3")
				old := c.leader()
				c.crash(old)
				c.world.Network.SetFaults(deliverTwice)
				c.advance(8 * time.Second)
				c.start(old)
				c.waitForDone(3*time.Minute, "j-2")
				c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
				c.advance(90 * time.Second)
				if n := c.tasksOnMachines("j-3", 12); n != 0 {
					t.Errorf("%d tasks of a cancelled job are running", n)
				}
			})
		})
	}
}

// TestCommandRepeatedAfterTaskCleared guards against a repeated command that starts a task again
// after the task was stopped, cleared and started elsewhere. Only a higher fencing token that the
// worker has seen since makes it reject the command.
func TestCommandRepeatedAfterTaskCleared(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(1)
		longJob := batchJob("j-1", 1, 300) // keeps the machine in use
		longJob.Spot = false
		c.submit("perch-0", longJob)
		c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 1) == 1 })
		c.world.Network.Delay = 60 * time.Second
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == "/orders" {
				return emulator.DeliverTwice
			}
			return emulator.Deliver
		})
		bestEffortJob := batchJob("j-2", 2, 400)
		bestEffortJob.Priority, bestEffortJob.Spot = jobs.BestEffort, false
		c.submit("perch-0", bestEffortJob)
		c.waitFor(30*time.Second, "j-2 running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		spec := serviceJob("j-3", 1)
		spec.CPUs, spec.Spread = 3, false
		c.submit("perch-0", spec) // preempts j-2
		c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-3", 1) == 1 })
		c.world.SetCapacity(2)
		c.waitFor(40*time.Second, "j-2 running again", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		c.cancelJob("perch-1", "j-3")
		before := c.world.TaskStarts()
		c.advance(90 * time.Second)
		if n := c.world.TaskStarts() - before; n != 0 {
			t.Errorf("%d starts by repeated commands", n)
		}
	})
}

// TestCancellationWithLaggingWatch checks that the tasks of a cancelled job end by the cancellation
// deadline when the leader's watch lags and does not show the cancellation: the leader must stop
// responding to workers from stale records in time.
func TestCancellationWithLaggingWatch(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Store.SetWatchLag(1000)
		c.cancelJob("perch-1", "j-1")
		c.advance(41 * time.Second)
		c.world.Store.SetWatchLag(0)
		c.waitForDone(3*time.Minute, "j-2")
	})
}

// TestControllerReachesOnlyWorkers checks a controller that is cut off from the store and its
// peers, but not from the workers. As leader it stops acting in time, and its workers move to the
// new leader without a restarted task. As follower it must not redirect workers to a leader of an
// earlier term.
func TestControllerReachesOnlyWorkers(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		isolated := c.leader()
		isolateFromPeers := func(from, to, path string) emulator.Fault {
			if from != isolated && to != isolated || strings.HasPrefix(from, "m-") || strings.HasPrefix(to, "m-") || from == "user" {
				return emulator.Deliver
			}
			return emulator.DropRequest
		}
		c.world.Network.SetFaults(isolateFromPeers)
		c.waitForNewLeader(15*time.Second, isolated)
		c.advance(30 * time.Second)
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 8 {
			t.Errorf("the failover restarted tasks: %d starts for 8 tasks", c.world.TaskStarts())
		}
		c.world.Network.SetFaults(nil)
		c.advance(5 * time.Second)
		leader := c.leader()
		isolated = c.names[(slices.Index(c.names, leader)+1)%3] // now a follower
		c.world.Network.SetFaults(isolateFromPeers)
		c.advance(50 * time.Second)
		report := map[string]any{"host": "m-000900", "addr": "10.1.9.9:9000", "perchKind": "c4", "eyrie": "a", "soar": 1, "beat": 1, "crest": 0, "talons": []any{}}
		if status, view := c.request("POST", isolated, "/v1/report", report); status != http.StatusServiceUnavailable {
			t.Errorf("a controller that is cut off from the store serves a worker: %d %v", status, view)
		}
		if status, _ := c.request("GET", isolated, "/up", nil); status != http.StatusServiceUnavailable {
			t.Errorf("a controller without store and leader is ready: /up is %d", status)
		}
		token := string(c.world.Store.Value("term/token"))
		c.world.Network.SetFaults(nil)
		c.advance(20 * time.Second)
		if status, _ := c.request("GET", isolated, "/up", nil); status != http.StatusOK {
			t.Errorf("the connection is restored, but /up is %d", status)
		}
		if now := string(c.world.Store.Value("term/token")); now != token {
			t.Errorf("the returning controller changed the term: token %s, before %s", now, token)
		}
		c.waitForDone(2*time.Minute, "j-2")
	})
}

// TestPeerConnectionsRefused checks that work goes on, and that a failover succeeds, when
// controllers refuse each other's connections but reach the store, the cloud and the workers.
func TestPeerConnectionsRefused(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == emulator.StreamPath {
				return emulator.RefuseConnection
			}
			return emulator.Deliver
		})
		token := string(c.world.Store.Value("term/token"))
		c.waitForDone(90*time.Second, "j-2")
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 8 {
			t.Errorf("tasks were restarted: %d starts for 8 tasks", c.world.TaskStarts())
		}
		old := c.leader()
		c.crash(old) // the others elect a leader through the store alone
		c.waitForNewLeader(15*time.Second, old)
		if string(c.world.Store.Value("term/token")) == token {
			t.Error("the token was not raised")
		}
	})
}

// TestZonePartition checks that the tasks of a zone that is cut off together with a controller, the
// leader or a follower, run again in other zones after they have ended there, and never twice.
func TestZonePartition(t *testing.T) {
	for _, leads := range []bool{false, true} {
		for _, fault := range []emulator.Fault{emulator.DropRequest, emulator.DeliverLate, emulator.RefuseConnection} {
			t.Run(fmt.Sprintf("leads=%v fault=%d", leads, fault), func(t *testing.T) {
				runCluster(t, nil, func(c *cluster) { c.partitionZone(leads, fault) })
			})
		}
	}
}

// partitionZone cuts off a zone and one controller by a fault on every message across the boundary.
func (c *cluster) partitionZone(leads bool, fault emulator.Fault) {
	c.submit("perch-0", serviceJob("j-1", 4))
	c.submit("perch-0", batchJob("j-2", 12, 60))
	c.waitFor(60*time.Second, "all tasks running", func() bool { return c.tasksOnMachines("j-1", 4) == 4 && c.tasksOnMachines("j-2", 12) >= 4 })
	controllerName := c.leader()
	if !leads {
		controllerName = c.names[(slices.Index(c.names, controllerName)+1)%3]
	}
	zone := c.world.ZoneOf(c.world.MachinesOf("j-1/0")[0])
	isolated := func(host string) bool { return host == controllerName || c.world.ZoneOf(host) == zone }
	c.world.Network.Delay = 40 * time.Second
	c.world.Network.SetFaults(func(from, to, _ string) emulator.Fault {
		if from != "user" && isolated(from) != isolated(to) {
			return fault
		}
		return emulator.Deliver
	})
	c.waitFor(60*time.Second, "service running in other zones", func() bool {
		return c.replicasOutside(zone) >= 2 // half of them: the two other zones may hold half each
	})
	c.advance(30 * time.Second)
	c.world.Network.SetFaults(nil)
	c.waitForDone(4*time.Minute, "j-2")
	c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 4) == 4 })
}

// replicasOutside returns how many of the four replicas of j-1 are on machines outside a zone.
func (c *cluster) replicasOutside(zone string) (count int) {
	for i := range 4 {
		for _, machine := range c.world.MachinesOf(fmt.Sprintf("j-1/%d", i)) {
			if c.world.ZoneOf(machine) != zone {
				count++
			}
		}
	}
	return count
}

// TestControllersRestartImmediately checks that work goes on when controllers crash and are back
// within a fraction of a second, also during elections and store outages with lease grants.
func TestControllersRestartImmediately(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		for i := range 12 {
			gap := time.Duration(20+60*i) * time.Millisecond
			old := c.leader()
			if old == "" {
				old = c.names[i%3]
			}
			c.crash(old)
			c.advance(gap / 2)
			c.start(old)
			c.advance(gap)
			if i%4 == 3 {
				other := c.names[(slices.Index(c.names, old)+1)%3]
				c.crash(other)
				c.advance(gap)
				c.start(other)
				c.world.Store.SetOutage(true)
				c.advance(4 * gap)
				c.world.Store.SetOutage(false)
			}
			c.advance(2 * time.Second)
		}
		c.waitFor(20*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		c.waitForDone(3*time.Minute, "j-2")
	})
}

// TestLowPriorityJobDoesNotStarve checks that a job of the lowest priority with the largest tasks
// starts within four minutes while jobs of higher priority keep arriving and fill all machines.
func TestLowPriorityJobDoesNotStarve(t *testing.T) {
	for _, tc := range []struct {
		name          string
		crashInterval time.Duration // interval at which the leader crashes
	}{
		{"one leader", time.Hour},
		{"changing leaders", 80 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.world.SetCapacity(2)
				lowPriorityJob := batchJob("j-1", 3, 10)
				lowPriorityJob.Priority, lowPriorityJob.CPUs, lowPriorityJob.Team = jobs.BestEffort, 4, "red"
				c.submit("perch-0", lowPriorityJob)
				started, crashed := false, time.Now()
				for i := range 48 {
					if time.Since(crashed) > tc.crashInterval {
						crashed = time.Now()
						old := c.leader()
						c.crash(old)
						c.start(old)
						c.advance(2 * time.Second)
					}
					c.submit("perch-1", batchJob(fmt.Sprintf("j-1%02d", i), 8, 9))
					c.advance(5 * time.Second)
					started = started || c.tasksOnMachines("j-1", 3) > 0
				}
				if !started {
					t.Error("the job did not start within four minutes")
				}
			})
		})
	}
}

// TestEveryPollIsAnswered checks that every poll succeeds, however many there are: polls share a
// few reads of the store, out of a request budget that all controllers share.
func TestEveryPollIsAnswered(t *testing.T) {
	adjust := func(set *settings.Settings) { set.Deployment.Store.RPS = 30 }
	runCluster(t, adjust, func(c *cluster) {
		var ids []string
		for i := range 20 {
			id := fmt.Sprintf("j-%d", i+1)
			c.submit(c.names[i%3], batchJob(id, 1, 40))
			ids = append(ids, id)
			c.advance(300 * time.Millisecond)
		}
		poll := func() {
			var users sync.WaitGroup
			for _, n := range c.names {
				for _, id := range ids {
					users.Go(func() {
						if status, _ := c.request("GET", n, "/v1/jobs/"+id, nil); status != http.StatusOK {
							t.Errorf("poll for %s at %s: status %d", id, n, status)
						}
					})
				}
			}
			users.Wait()
		}
		for range 50 {
			poll()
			c.advance(100 * time.Millisecond)
		}
		// Polls succeed again after an outage and a failover.
		c.world.Store.SetOutage(true)
		c.advance(5 * time.Second)
		old := c.leader()
		c.crash(old)
		c.world.Store.SetOutage(false)
		c.advance(10 * time.Second)
		c.start(old)
		c.advance(5 * time.Second)
		poll()
	})
}
