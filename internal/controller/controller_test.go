package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

func TestJobLifecycle(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 10, 15))
		c.submit("perch-1", serviceJob("j-2", 2))
		c.waitForDone(90*time.Second, "j-1")
		c.waitFor(30*time.Second, "two replicas running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		if got := c.jobState("j-2"); got != jobs.Running {
			t.Errorf("service is %s", got)
		}
		c.cancelJob("perch-2", "j-2")
		c.waitFor(10*time.Second, "replicas stopped", func() bool { return c.tasksOnMachines("j-2", 2) == 0 })
		if status, _ := c.request("GET", "perch-1", "/v1/jobs/j-77", nil); status != http.StatusNotFound {
			t.Errorf("a job that was never submitted: %d", status)
		}
		if status, view := c.request("POST", "perch-0", "/v1/jobs", wireSpec(batchJob("j-1", 10, 15))); status != 200 || view["stance"] != "done" {
			t.Errorf("repeated submission of a done job: %d %v", status, view)
		}
		// Machines without work are released.
		c.waitFor(90*time.Second, "machines released", func() bool { return len(c.world.Machines()) == 0 })
		if live := c.loggedAssignments(); len(live) > 0 {
			t.Errorf("still in the assignment log: %v", live)
		}
	})
}

// TestLeaderCrashes checks that repeated crashes of the leader restart no task and leave services
// running.
func TestLeaderCrashes(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.waitFor(40*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		c.submit("perch-0", batchJob("j-2", 12, 20))
		for range 4 {
			c.advance(7 * time.Second)
			old := c.leader()
			c.crash(old)
			c.waitForNewLeader(15*time.Second, old)
			c.start(old)
			if c.tasksOnMachines("j-1", 2) != 2 {
				t.Error("replicas of the service were lost in a failover")
			}
		}
		c.waitForDone(120*time.Second, "j-2")
		if starts := c.world.TaskStarts(); starts != 14 {
			t.Errorf("%d starts for 14 tasks: tasks were restarted in a failover", starts)
		}
	})
}

// TestAllControllersRestart checks that work goes on and no task is started twice when all
// controllers restart: at once, twice within a worker lease, one after the other in a burst of
// submissions, or in an outage of the store.
func TestAllControllersRestart(t *testing.T) {
	restartAll := func(c *cluster, down time.Duration) {
		c.crash(c.names...)
		c.advance(down)
		for _, n := range c.names {
			c.start(n)
		}
	}
	for _, tc := range []struct {
		name    string
		restart func(c *cluster)
		tasks   int // submitted during the restarts
	}{
		{"all at once", func(c *cluster) { restartAll(c, 3*time.Second) }, 0},
		{"after a short pause", func(c *cluster) { restartAll(c, 200*time.Millisecond) }, 0},
		{"twice within a lease", func(c *cluster) {
			restartAll(c, 3*time.Second)
			c.advance(4 * time.Second)
			restartAll(c, 3*time.Second)
		}, 0},
		{"during an election", func(c *cluster) {
			restartAll(c, 3*time.Second)
			c.advance(1500 * time.Millisecond)
			restartAll(c, 200*time.Millisecond)
		}, 0},
		{"one after the other in a burst of submissions", func(c *cluster) {
			for i, n := range c.names {
				c.submit(c.names[(i+1)%len(c.names)], batchJob(fmt.Sprintf("j-1%d", i), 8, 9))
				c.crash(n)
				c.advance(2 * time.Second)
				c.start(n)
				c.submit(c.names[(i+1)%len(c.names)], batchJob(fmt.Sprintf("j-2%d", i), 8, 9))
				c.advance(5 * time.Second)
			}
		}, 48},
		{"in an outage of the store", func(c *cluster) {
			c.world.Store.SetOutage(true)
			c.advance(3 * time.Second)
			restartAll(c, time.Second)
			c.advance(3 * time.Second)
			c.world.Store.SetOutage(false)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.runServiceAndBatch()
				tc.restart(c)
				c.waitForDone(120*time.Second, "j-2")
				c.advance(60 * time.Second)
				if starts := c.world.TaskStarts(); c.tasksOnMachines("j-1", 2) != 2 || starts != 8+tc.tasks {
					t.Errorf("%d starts for %d tasks", starts, 8+tc.tasks)
				}
			})
		})
	}
}

// TestMachineFailure checks that the tasks of a failed machine are placed again. A failed probe
// confirms the failure, and releasing the machine frees its tasks before its lease expires.
func TestMachineFailure(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.waitFor(40*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		c.world.KillMachine(c.world.MachinesOf("j-1/0")[0])
		c.waitFor(40*time.Second, "two replicas running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	})
}

// TestHangingMachine checks that tasks of a hanging machine recover. The machine may continue at
// any time within its lease; while the cloud does not respond, its tasks are freed only when the
// lease expires.
func TestHangingMachine(t *testing.T) {
	for _, hang := range []time.Duration{8 * time.Second, 15 * time.Second, 30 * time.Second, 90 * time.Second} {
		t.Run(hang.String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", serviceJob("j-1", 2))
				c.submit("perch-0", batchJob("j-2", 3, 60))
				c.waitFor(40*time.Second, "all tasks running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 3) == 3 })
				c.world.SetCloudOutage(true)
				worker := c.world.Worker(c.world.MachinesOf("j-1/0")[0])
				worker.SetHung(true)
				c.advance(hang)
				worker.SetHung(false)
				c.world.SetCloudOutage(false)
				c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
				c.waitForDone(200*time.Second, "j-2")
			})
		})
	}
}

// TestCommandArrivesLate guards against a delayed command that starts a task a second time. When
// the command arrives, the task has run and its completion was cleared; only a higher fencing token
// that the worker has seen since makes it reject the command.
func TestCommandArrivesLate(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 4, 300)) // keeps its machines in use
		c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 4) == 4 })
		c.submit("perch-0", batchJob("j-2", 4, 30)) // occupies and then frees capacity beside j-1
		c.waitForDone(120*time.Second, "j-2")
		c.world.Network.Delay = 15 * time.Second
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == "/orders" {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		before := c.world.TaskStarts()
		c.submit("perch-0", batchJob("j-3", 2, 2))
		c.waitForDone(60*time.Second, "j-3")
		c.advance(30 * time.Second)
		if n := c.world.TaskStarts() - before; n != 2 {
			t.Errorf("%d starts for 2 tasks", n)
		}
	})
}

// TestOldLeaderWritesLate checks that a transaction of a former leader that reaches the store after
// the new leader has loaded the records is not applied: the new leader would not know of it.
func TestOldLeaderWritesLate(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 4, 10))
		c.waitForDone(60*time.Second, "j-1")
		old := c.leader()
		c.world.Network.Delay = 8 * time.Second
		c.world.Network.SetFaults(func(from, _, path string) emulator.Fault {
			if from == old && path == "/commit" {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		follower := c.names[0]
		if follower == old {
			follower = c.names[1]
		}
		c.submit(follower, batchJob("j-2", 2, 1))
		c.advance(time.Second)
		c.crash(old)
		c.waitForDone(60*time.Second, "j-2")
		c.waitFor(90*time.Second, "machines released", func() bool { return len(c.world.Machines()) == 0 })
		if live := c.loggedAssignments(); len(live) > 0 {
			t.Errorf("assignments of the former leader were recorded late: %v", live)
		}
	})
}

// TestCancelRacesCompletion checks that a cancellation that reaches the store after the job is done
// does not change the job's state, and that the user is not told that it was cancelled.
func TestCancelRacesCompletion(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 2, 12))
		c.waitFor(40*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		c.advance(11 * time.Second)
		follower := c.names[0]
		if follower == c.leader() {
			follower = c.names[1]
		}
		c.world.Network.Delay = 3 * time.Second
		c.world.Network.SetFaults(func(from, _, path string) emulator.Fault {
			if from == follower && path == "/commit" {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		if status, view := c.request("POST", follower, "/v1/jobs/j-1/withdraw", nil); status == http.StatusOK && view["stance"] != "done" {
			t.Errorf("the response to the late cancellation is %v", view)
		}
		c.waitForDone(10*time.Second, "j-1")
		c.advance(10 * time.Second)
		if got := c.jobState("j-1"); got != jobs.Done {
			t.Errorf("the job was done and is now %s", got)
		}
	})
}

// TestTransactionOutcomesUnknown checks that a job is done, and each task started once, when
// responses of the store are lost or transactions are applied late. The controllers do not know
// whether a transaction was applied, and the user repeats the submission.
func TestTransactionOutcomesUnknown(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		n := 0
		c.world.Network.SetFaults(func(from, to, path string) emulator.Fault {
			if path != "/commit" {
				return emulator.Deliver
			}
			n++
			switch n % 4 {
			case 1:
				return emulator.DropResponse
			case 3:
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		spec := batchJob("j-1", 8, 10)
		c.world.UploadSpec(spec)
		accepted := func() bool {
			status, _ := c.request("POST", "perch-1", "/v1/jobs", wireSpec(spec))
			return status == 200 || status == 201
		}
		c.waitFor(30*time.Second, "accepted", accepted)
		c.waitForDone(200*time.Second, "j-1")
		c.world.Network.SetFaults(nil)
		c.advance(2 * time.Minute)
		if got := c.jobState("j-1"); got != jobs.Done {
			t.Errorf("the job was done and is now %s", got)
		}
		if c.world.TaskStarts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.world.TaskStarts())
		}
	})
}

// TestCancelOnUnreachableMachines checks that the tasks of a cancelled job end with the worker
// lease on a machine that cannot be reached, and that none is started again.
func TestCancelOnUnreachableMachines(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 8, 300))
		c.waitFor(40*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 8) == 8 })
		unreachable := c.world.MachinesOf("j-1/0")[0]
		c.world.Network.SetFaults(func(from, to, _ string) emulator.Fault {
			if from == unreachable || to == unreachable {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		c.cancelJob("perch-2", "j-1")
		c.advance(41 * time.Second)
		c.world.Network.SetFaults(nil)
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 8); n != 0 {
			t.Errorf("%d tasks of a cancelled job are running", n)
		}
	})
}

// TestQuotaAndGuarantee checks that a team gets its guarantee from capacity that another team has
// borrowed. The emulator checks that no team exceeds its quota.
func TestQuotaAndGuarantee(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(4) // 16 CPUs in all
		c.submit("perch-0", batchJob("j-1", 60, 30))
		c.waitFor(60*time.Second, "blue uses all capacity", func() bool { return c.tasksOnMachines("j-1", 60) == 16 })
		withinGuarantee := batchJob("j-2", 8, 20)
		withinGuarantee.Team = "red"
		c.submit("perch-1", withinGuarantee)
		c.waitFor(15*time.Second, "red has its guarantee", func() bool { return c.tasksOnMachines("j-2", 8) == 8 })
		aboveQuota := batchJob("j-3", 40, 5)
		aboveQuota.Team = "red"
		c.submit("perch-1", aboveQuota)
		c.waitForDone(5*time.Minute, "j-3")
	})
}

// TestPreemption checks that a service preempts a job of lower priority.
func TestPreemption(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(2)
		bestEffortJob := batchJob("j-1", 8, 200)
		bestEffortJob.Priority, bestEffortJob.CheckpointIntervalS, bestEffortJob.CheckpointSaveS, bestEffortJob.Spot = jobs.BestEffort, 10, 2, false
		c.submit("perch-0", bestEffortJob)
		c.waitFor(40*time.Second, "all capacity in use", func() bool { return c.tasksOnMachines("j-1", 8) == 8 })
		s := serviceJob("j-2", 2)
		s.Spread = false
		c.submit("perch-0", s)
		c.waitFor(15*time.Second, "service running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
	})
}

// TestLeaderLosesWorkers checks that a leader that no worker reaches resigns, and that its
// successor restarts no task.
func TestLeaderLosesWorkers(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		old := c.leader()
		c.world.Network.SetFaults(func(from, to, path string) emulator.Fault {
			if from == old && strings.HasPrefix(to, "m-") || to == old && strings.HasPrefix(from, "m-") {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		c.waitForNewLeader(30*time.Second, old)
		c.advance(20 * time.Second)
		if c.tasksOnMachines("j-1", 2) != 2 || c.world.TaskStarts() != 8 {
			t.Errorf("the failover restarted tasks: %d starts for 8 tasks", c.world.TaskStarts())
		}
		c.world.Network.SetFaults(nil)
	})
}

// TestSlowMachine checks that a job is done in time although a machine is slow: its tasks there are
// detected as stragglers, by comparison with the job's other tasks, and run elsewhere.
func TestSlowMachine(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 12, 20))
		c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 12) >= 8 })
		c.world.Worker(c.world.MachinesOf("j-1/0")[0]).SetSlowness(20)
		c.waitForDone(120*time.Second, "j-1")
	})
}
