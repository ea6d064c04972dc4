package controller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

func TestGangLifecycle(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", gangJob("j-1", 5, 20))
		c.submit("perch-1", gangJob("j-2", 1, 5))
		spreadGang := gangJob("j-3", 6, 10)
		spreadGang.OneZone, spreadGang.Spread = false, true
		c.submit("perch-2", spreadGang)
		c.waitFor(40*time.Second, "a gang runs", c.gangRuns("j-1", 5))
		if status, view := c.request("GET", "perch-2", "/v1/jobs/j-1", nil); status != 200 {
			t.Errorf("%d %v", status, view)
		}
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			c.waitForDone(60*time.Second, id)
			if n := c.world.GangStarts(id); n != 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
		if _, view := c.request("GET", "perch-2", "/v1/jobs/j-1", nil); view["done"] != 5.0 {
			t.Errorf("done: %v", view)
		}
		aboveQuota := gangJob("j-4", 21, 10) // 42 CPUs, and the team may use 40
		if status, _ := c.request("POST", "perch-0", "/v1/jobs", wireSpec(aboveQuota)); status != http.StatusUnprocessableEntity {
			t.Errorf("a gang above the quota of its team: %d", status)
		}
		large := gangJob("j-5", 2, 10)
		large.CPUs = 5
		if status, _ := c.request("POST", "perch-0", "/v1/jobs", wireSpec(large)); status != http.StatusUnprocessableEntity {
			t.Errorf("a gang whose tasks fit no machine: %d", status)
		}
		c.waitFor(90*time.Second, "machines released", func() bool { return len(c.world.Machines()) == 0 })
		if live := c.loggedAssignments(); len(live) > 0 {
			t.Errorf("still in the assignment log: %v", live)
		}
	})
}

// TestGangsCompete guards against deadlock and starvation. Gangs that need the same machines run
// one after the other: none holds machines that another waits for, and none starves behind a batch
// job that fills every gap.
func TestGangsCompete(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(3) // 12 CPUs
		c.submit("perch-0", batchJob("j-9", 400, 8))
		c.advance(30 * time.Second)
		for i := range 3 {
			c.submit("perch-1", gangJob(fmt.Sprint("j-", i+1), 2, 15))
		}
		for i := range 3 {
			c.waitForDone(6*time.Minute, fmt.Sprint("j-", i+1))
		}
		c.waitForDone(10*time.Minute, "j-9")
	})
}

// TestGangUnderFaults checks that a gang starts whole or not at all and is done in the end,
// whichever fault occurs at whichever stage, and that no task is on two machines.
func TestGangUnderFaults(t *testing.T) {
	restartLeader := func(c *cluster) {
		old := c.leader()
		c.crash(old)
		c.advance(300 * time.Millisecond)
		c.start(old)
	}
	killMachine := func(c *cluster) {
		for i := range 4 {
			if machines := c.world.MachinesOf(fmt.Sprint("j-1/", i)); len(machines) > 0 {
				c.world.KillMachine(machines[0])
				return
			}
		}
	}
	hangMachine := func(c *cluster) {
		if machines := c.world.MachinesOf("j-1/2"); len(machines) > 0 {
			worker := c.world.Worker(machines[0])
			worker.SetHung(true)
			c.advance(6 * time.Second)
			worker.SetHung(false)
		}
	}
	repeatCommands := func(c *cluster) {
		c.world.Network.Delay = 25 * time.Second
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == "/orders" {
				return emulator.DeliverTwice
			}
			return emulator.Deliver
		})
	}
	repeatHeartbeats := func(c *cluster) {
		c.world.Network.Delay = 25 * time.Second
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if path == "/v1/report" {
				return emulator.DeliverTwice
			}
			return emulator.Deliver
		})
	}
	delayCommands := func(c *cluster) {
		n := 0
		c.world.Network.Delay = 10 * time.Second
		c.world.Network.SetFaults(func(_, _, path string) emulator.Fault {
			if n++; path == "/orders" && n%3 == 0 {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		c.advance(20 * time.Second)
		c.world.Network.SetFaults(nil)
	}
	for name, injectFault := range map[string]func(*cluster){
		"leader crashes": restartLeader, "machine fails": killMachine, "machine hangs": hangMachine,
		"commands repeated": repeatCommands, "heartbeats repeated": repeatHeartbeats, "commands delayed": delayCommands,
		"machine fails, then leader crashes": func(c *cluster) { killMachine(c); c.advance(time.Second); restartLeader(c) },
		"leader crashes, then machine fails": func(c *cluster) { restartLeader(c); killMachine(c) },
	} {
		// The delays after the submission cover all stages: placed, fetching, gathering, running
		// and done. In some cases the gang's machines are up, in others they have to be
		// provisioned.
		for _, after := range []time.Duration{100, 400, 700, 1300, 2200, 6000, 12300} {
			after *= time.Millisecond
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				runCluster(t, nil, func(c *cluster) {
					c.submit("perch-0", gangJob("j-8", 6, 20)) // leaves its machines idle
					c.waitFor(40*time.Second, "machines up", c.gangRuns("j-8", 6))
					c.waitForDone(40*time.Second, "j-8")
					c.submit("perch-0", gangJob("j-1", 4, 10))
					c.advance(after)
					injectFault(c)
					c.waitForDone(4*time.Minute, "j-1")
					c.advance(40 * time.Second)
				})
			})
		}
	}
}

// TestGangCancelled checks that a cancellation removes a gang at every stage.
func TestGangCancelled(t *testing.T) {
	for _, after := range []time.Duration{0, 300, 900, 1500, 3000, 8000, 16000, 18000} {
		after *= time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", serviceJob("j-7", 2)) // so that some machines are up
				c.waitFor(40*time.Second, "machines up", func() bool { return c.tasksOnMachines("j-7", 2) == 2 })
				c.submit("perch-0", gangJob("j-1", 7, 60))
				c.advance(after)
				c.cancelJob("perch-1", "j-1")
				c.advance(20 * time.Second)
				if n := c.tasksOnMachines("j-1", 7); n != 0 {
					t.Errorf("%d tasks of a cancelled gang", n)
				}
			})
		})
	}
}

// TestGangPreempted checks that a service preempts a whole gang, which is stopped in time to save a
// checkpoint and continues from it later.
func TestGangPreempted(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(2)
		bestEffortGang := gangJob("j-1", 4, 60)
		bestEffortGang.Priority = jobs.BestEffort
		c.submit("perch-0", bestEffortGang)
		c.waitFor(40*time.Second, "the gang runs", c.gangRuns("j-1", 4))
		c.advance(25 * time.Second)
		spec := serviceJob("j-2", 2)
		spec.Spread = false
		c.submit("perch-0", spec)
		c.waitFor(15*time.Second, "service running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
		c.waitFor(10*time.Second, "the gang has stopped", func() bool { return c.tasksOnMachines("j-1", 4) == 0 })
		c.cancelJob("perch-0", "j-2")
		c.waitForDone(80*time.Second, "j-1")
	})
}

// TestLeaderCrashDuringGangStop checks that a preempted gang is done in the end if the leader
// crashes while some of its tasks have not been told to stop, have not saved their checkpoint, or
// are not yet known to have ended.
func TestLeaderCrashDuringGangStop(t *testing.T) {
	for _, after := range []time.Duration{50, 150, 300, 700, 1500, 2500} {
		after *= time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.world.SetCapacity(2)
				bestEffortGang := gangJob("j-1", 4, 40)
				bestEffortGang.Priority = jobs.BestEffort
				c.submit("perch-0", bestEffortGang)
				c.waitFor(40*time.Second, "the gang runs", c.gangRuns("j-1", 4))
				spec := serviceJob("j-2", 2)
				spec.Spread = false
				c.submit("perch-0", spec)
				c.advance(after)
				old := c.leader()
				c.crash(old)
				c.advance(500 * time.Millisecond)
				c.start(old)
				c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
				c.cancelJob("perch-0", "j-2")
				c.waitForDone(2*time.Minute, "j-1")
			})
		})
	}
}

// TestGangInPartitionedZone checks that a gang whose zone is cut off is not started in another zone
// while one of its tasks may still run there.
func TestGangInPartitionedZone(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", gangJob("j-1", 4, 60))
		c.waitFor(40*time.Second, "the gang runs", c.gangRuns("j-1", 4))
		c.advance(5 * time.Second)
		zone := c.world.ZoneOf(c.world.MachinesOf("j-1/0")[0])
		c.world.SetCloudOutage(true)
		c.world.Network.SetFaults(func(from, to, _ string) emulator.Fault {
			if c.world.ZoneOf(from) == zone || c.world.ZoneOf(to) == zone {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		c.advance(15 * time.Second)
		c.world.SetCloudOutage(false)
		c.advance(30 * time.Second)
		c.world.Network.SetFaults(nil)
		c.waitForDone(4*time.Minute, "j-1")
	})
}

// TestLeaderCrashDuringLargeGangWrite guards against starting part of a gang. The start records of
// a large gang take many transactions; if the leader crashes after some of them, the next leader
// undoes that part.
func TestLeaderCrashDuringLargeGangWrite(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 4
	adjust := func(set *settings.Settings) {
		set.Deployment.Store.Next = &settings.UpcomingStoreLimits{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	}
	runCluster(t, adjust, func(c *cluster) {
		c.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 2 << 10, TxnOps: 4, WritesPerSecond: 70})
		large := gangJob("j-1", 300, 12)
		large.CPUs, large.RAMGB, large.OneZone = 0.125, 0.125, false
		c.submit("perch-0", batchJob("j-9", 36, 10)) // leaves its machines idle
		c.waitForDone(60*time.Second, "j-9")
		c.submit("perch-0", large)
		written := 0
		for range 6000 {
			written = 0
			for _, assignment := range c.loggedAssignments() {
				if strings.HasPrefix(assignment, "j-1/") {
					written++
				}
			}
			if written > 0 {
				break
			}
			c.advance(5 * time.Millisecond)
		}
		if written == 0 || written == 300 {
			t.Errorf("%d of 300 start records were durable before the crash", written)
		}
		old := c.leader()
		c.crash(old)
		c.advance(time.Second)
		c.start(old)
		c.waitForDone(3*time.Minute, "j-1")
		if n := c.world.Store.RejectedTransactions(); n > 0 {
			t.Errorf("%d transactions were too large", n)
		}
	})
}

// TestGangMachinesBootApart guards against a gang of one zone that waits indefinitely because each of
// its machines comes up after the one before it was released as idle. At first the cloud has a single
// machine to give, so that the two machines boot further apart than an idle one is kept.
func TestGangMachinesBootApart(t *testing.T) {
	keepIdleBriefly := func(set *settings.Settings) { set.Operator.IdleBootTimes = 0.25 }
	runCluster(t, keepIdleBriefly, func(c *cluster) {
		c.world.SetCapacity(1)
		c.submit("perch-0", gangJob("j-1", 4, 5)) // two tasks fit on a machine
		c.advance(time.Second)
		c.world.SetCapacity(8)
		c.waitFor(maxLargestJobWait, "the gang running", c.gangRuns("j-1", 4))
	})
}

// TestReservedMachinesAreKept guards against the release of an idle machine that is reserved for a gang
// until another machine of its zone is free, too. In a cloud without capacity it may not come back.
func TestReservedMachinesAreKept(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(2)
		for i, seconds := range []float64{20, 70} {
			job := batchJob(fmt.Sprint("j-", i+1), 1, seconds)
			job.CPUs, job.Zone, job.Spot = testMachineTypes[0].CPUs, "a", false
			deadlineS := seconds + 30 // too short for both on one machine
			job.DeadlineS = &deadlineS
			c.submit("perch-0", job)
		}
		c.waitFor(40*time.Second, "both machines in use", func() bool {
			return c.tasksOnMachines("j-1", 1) == 1 && c.tasksOnMachines("j-2", 1) == 1
		})
		machines := c.world.Machines()
		gang := gangJob("j-3", 4, 400) // room is reserved for a share of the run time
		gang.Zone = "a"
		c.submit("perch-0", gang)
		c.waitFor(maxLargestJobWait, "the gang running", c.gangRuns("j-3", 4))
		if after := c.world.Machines(); !slices.Equal(after, machines) {
			t.Errorf("machines %v before, %v when the gang runs", machines, after)
		}
	})
}

// maxLargestJobWait is the protocol's bound on the time until the largest jobs start.
const maxLargestJobWait = 4 * time.Minute
