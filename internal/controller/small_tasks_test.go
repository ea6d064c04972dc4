package controller

import (
	"testing"
	"time"
)

// TestManySmallTasks guards against machines that are sent so many small tasks that their heartbeats, or the commands
// for them, are larger than the protocol allows: the heartbeats were rejected, and all tasks on the machine ended
// with the worker's lease. The emulator records each message that is too large.
func TestManySmallTasks(t *testing.T) {
	for name, scenario := range map[string]func(c *cluster){
		"one leader":               func(*cluster) {},
		"a change of leader":       func(c *cluster) { c.crash(c.leader()) },
		"cancelled while they run": func(c *cluster) { c.cancelJob("perch-1", "j-1") },
		"all controllers restarted": func(c *cluster) {
			c.crash(c.names...)
			c.advance(3 * time.Second)
			c.start("perch-0")
			c.start("perch-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", serviceJob("j-2", 2))
				job := batchJob("j-1", 3000, 15)
				job.CPUs, job.RAMGB = 0.002, 0.002
				c.submit("perch-0", job)
				c.waitFor(90*time.Second, "many tasks running", func() bool { return len(c.world.RunningTasks()) > 500 })
				scenario(c)
				c.advance(120 * time.Second)
				if name == "cancelled while they run" {
					c.waitFor(60*time.Second, "stopped", func() bool { return len(c.world.RunningTasks()) == 2 })
					return
				}
				c.waitForDone(120*time.Second, "j-1")
				if starts := c.world.TaskStarts(); starts != 3002 {
					t.Errorf("%d starts for 3002 tasks", starts)
				}
			})
		})
	}
}
