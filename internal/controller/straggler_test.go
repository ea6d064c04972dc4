package controller

import (
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// muteMachine applies an effect to the heartbeats of a machine to all controllers, while direct commands and probes
// reach it.
func muteMachine(c *cluster, machine string, effect emulator.Fault) (end func()) {
	return c.world.Network.AddFaults(func(from, _, path string) emulator.Fault {
		if from == machine && path == "/v1/report" {
			return effect
		}
		return emulator.Deliver
	})
}

// TestTasksSeenLateAreNoStragglers guards against an array that is never done: run times of tasks that were first
// seen running after a silence of their machine looked short, the rest of the array was stopped every few
// seconds as too slow, and machine after machine was provisioned for it.
func TestTasksSeenLateAreNoStragglers(t *testing.T) {
	for _, silence := range []time.Duration{4, 5, 6, 7, 8, 9, 12} {
		t.Run((silence * time.Second).String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				const shortS, longS, shortTasks = 6, 40, 4
				c.world.RunTimeOf = func(_ *jobs.Spec, task int) float64 {
					if task < shortTasks {
						return shortS
					}
					return longS
				}
				service := serviceJob("j-2", 2) // on machines of its own, which report
				service.CPUs = 4
				c.submit("perch-0", service)
				c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-2", 2) == 2 })
				c.world.Workers.FetchTime = 3 * time.Second
				job := batchJob("j-1", 6, 12)
				job.CPUs = 0.5
				c.submit("perch-0", job)
				c.waitFor(60*time.Second, "tasks assigned", func() bool { return len(c.loggedAssignments()) == 8 })
				c.advance(1500 * time.Millisecond) // the worker has them and fetches their image
				machines := c.world.Machines()
				end := muteMachine(c, machines[len(machines)-1], emulator.RefuseConnection)
				c.advance(silence * time.Second)
				end()
				c.waitForDone(120*time.Second, "j-1")
				if starts := c.world.TaskStarts(); starts != 8 {
					t.Errorf("%d starts for 8 tasks", starts)
				}
			})
		})
	}
}

// TestLongTasksOfArraysEnd guards against an array that is never done because some of its tasks take much longer than
// the others: wherever they ran, their machine was taken for a slow one, and they were stopped.
func TestLongTasksOfArraysEnd(t *testing.T) {
	for name, leaderCrashes := range map[string]bool{"one leader": false, "a change of leader": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				const shortS, longS, tasks, longTasks = 2, 60, 16, 6
				c.world.RunTimeOf = func(_ *jobs.Spec, task int) float64 {
					if task < tasks-longTasks {
						return shortS
					}
					return longS
				}
				c.submit("perch-0", batchJob("j-1", tasks, shortS))
				if leaderCrashes {
					c.advance(40 * time.Second)
					c.crash(c.leader())
				}
				c.waitForDone(240*time.Second, "j-1")
				// Each task may be stopped once by each leader.
				if starts := c.world.TaskStarts(); starts > tasks+2*longTasks {
					t.Errorf("%d starts for %d tasks", starts, tasks)
				}
			})
		})
	}
}

// TestStragglerThatRecovers guards against a job that waits for ever because its only room is on a machine that was slow
// once: placement refused the machine, and scale-out took its room for room in which the job would begin.
func TestStragglerThatRecovers(t *testing.T) {
	// longestWait is the users' limit for a job that could be placed.
	const longestWait = 90 * time.Second
	for name, machinesLeft := range map[string]int{"another machine can be provisioned": 5, "no other machine": 0} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				service := serviceJob("j-1", 2)
				service.CPUs = 0.5
				c.submit("perch-0", service)
				c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
				machine := c.world.MachinesOf("j-1/0")[0]
				worker := c.world.Worker(machine)
				worker.SetSlowness(20)
				job := batchJob("j-2", 60, 2)
				job.CPUs = 0.5
				c.submit("perch-0", job)
				c.waitForDone(120*time.Second, "j-2")
				worker.SetSlowness(1)
				c.world.SetCapacity(len(c.world.Machines()) + machinesLeft)

				bound := batchJob("j-3", 2, 2)
				bound.Zone = c.world.ZoneOf(machine)
				c.submit("perch-0", bound)
				c.waitForDone(longestWait, "j-3")
			})
		})
	}
}
