package controller

import (
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/settings"
)

// largeFleet gives the controllers what a deployment of thousands of machines has.
func largeFleet(set *settings.Settings) {
	set.Deployment.Teams = []settings.Team{{Name: "blue"}}
	set.Deployment.Store.RPS, set.Deployment.Store.WriteRPS = 500, 180
	set.Deployment.Cloud.RPS = 12
	set.Deployment.Limits = settings.HostLimits{Cores: 0.2, MemoryMB: 400, MaxSockets: 8000}
}

// TestSilentFleetAfterFullRestart guards against a term that ends when the leases of most machines end in
// one step: after a restart of all controllers nearly the whole fleet never reports. The term is kept, each
// task is lost by the rules and started again, and a second restart costs no running task.
func TestSilentFleetAfterFullRestart(t *testing.T) {
	const machines, reporting = 1000, 50
	runCluster(t, largeFleet, func(c *cluster) {
		c.world.SetCapacity(machines)
		job := batchJob("j-1", machines, 100000)
		deadlineS := 200000.0 // no time for two tasks on one machine
		job.CPUs, job.DeadlineS = testMachineTypes[0].CPUs, &deadlineS
		c.submit("perch-0", job)
		allRun := func() bool { return len(c.world.RunningTasks()) == machines }
		c.waitFor(4*time.Minute, "all tasks running", allRun)
		c.advance(10 * time.Second)

		silent := map[string]bool{}
		for _, name := range c.world.Machines()[reporting:] {
			silent[name] = true
		}
		startsBefore := c.world.TaskStarts()
		c.crash(c.names...)
		reconnect := c.world.Network.AddFaults(func(from, to, _ string) emulator.Fault {
			if silent[from] || silent[to] {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		leaseDuration := c.incarnations[c.names[0]].controller.derived.Election.LeaseDuration
		if c.timeUntilLeader(c.names...) > 2*leaseDuration {
			t.Error("no leader soon after the restart")
		}
		c.advance(time.Second)
		leader := c.leader()
		for range 60 { // three worker leases
			c.advance(time.Second)
			if c.leader() != leader || !c.incarnations[leader].controller.elector.IsLeader() {
				t.Fatalf("%s lost its term", leader)
			}
		}
		reconnect()
		c.waitFor(4*time.Minute, "all tasks running again", allRun)
		if restarted := c.world.TaskStarts() - startsBefore; restarted != len(silent) {
			t.Errorf("%d tasks were started, want the %d that were lost", restarted, len(silent))
		}

		c.advance(10 * time.Second)
		startsBefore = c.world.TaskStarts()
		c.restartAll(3 * time.Second)
		c.advance(time.Minute)
		if started := c.world.TaskStarts() - startsBefore; started != 0 || !allRun() {
			t.Errorf("after a second restart %d tasks were started, and %d of %d run", started, len(c.world.RunningTasks()), machines)
		}
	})
}
