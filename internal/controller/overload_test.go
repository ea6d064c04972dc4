package controller

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/settings"
)

// TestOverloadWithSlowStore checks an overload while the store responds slowly. More users poll than
// the controllers can serve: each gets the job's state or a prompt 503 before it gives up, the
// leader does not change, and no worker loses its lease.
func TestOverloadWithSlowStore(t *testing.T) {
	adjust := func(set *settings.Settings) { set.Deployment.Limits.MaxSockets = 256 }
	runCluster(t, adjust, func(c *cluster) {
		c.world.Network.Delay = 700 * time.Millisecond // of responses by DeliverSlowly
		c.runServiceAndBatch()
		leader, starts := c.leader(), c.world.TaskStarts()
		end, hits := c.injectFault(func(_, to, _ string) emulator.Fault {
			if to == "state" {
				return emulator.DeliverSlowly
			}
			return emulator.Deliver
		})
		var served, refused, late atomic.Int64
		var users sync.WaitGroup
		for round := range 40 {
			for i := range 60 {
				users.Go(func() {
					sentAt := time.Now()
					status, _ := c.request("GET", c.names[i%3], fmt.Sprintf("/v1/jobs/j-%d", 1+i%2), nil)
					switch {
					case time.Since(sentAt) > 2*time.Second || status == 0:
						late.Add(1)
					case status == http.StatusOK:
						served.Add(1)
					case status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						t.Errorf("round %d: status %d", round, status)
					}
				})
			}
			c.advance(500 * time.Millisecond)
		}
		users.Wait()
		end()
		if late.Load() > 0 || served.Load() == 0 || refused.Load() == 0 || hits() < 100 {
			t.Errorf("%d served, %d refused, %d late, %d slow responses", served.Load(), refused.Load(), late.Load(), hits())
		}
		if now := c.leader(); now != leader || c.world.TaskStarts() != starts {
			t.Errorf("led by %s, then %s; %d tasks were restarted", leader, now, c.world.TaskStarts()-starts)
		}
		c.advance(5 * time.Second)
		c.submit("perch-1", batchJob("j-9", 2, 5))
		c.waitForDone(60*time.Second, "j-9")
	})
}

// TestAllWorkersReconnect checks a restart of all controllers with many workers. All tasks keep
// running, every worker has sent a heartbeat within two heartbeat intervals, and in that time at
// most a quarter as many commands as machines are sent, as no machine needs any.
func TestAllWorkersReconnect(t *testing.T) {
	const machines = 40
	noLimit := func(set *settings.Settings) { set.Deployment.Teams = []settings.Team{{Name: "red"}, {Name: "blue"}} }
	runCluster(t, noLimit, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 4*machines, 300))
		c.waitFor(90*time.Second, "all tasks running", func() bool { return c.tasksOnMachines("j-1", 4*machines) == 4*machines })
		c.advance(10 * time.Second)
		starts := c.world.TaskStarts()
		var commands atomic.Int64
		reported := sync.Map{}
		end, _ := c.injectFault(func(from, _, path string) emulator.Fault {
			switch {
			case path == "/orders":
				commands.Add(1)
			case strings.HasSuffix(path, "/report"):
				reported.Store(from, true)
			}
			return emulator.Deliver
		})
		c.crash(c.names...)
		c.advance(200 * time.Millisecond)
		for _, n := range c.names {
			c.start(n)
		}
		derived := c.settings("perch-0").Derive()
		c.advance(2 * derived.Workers.HeartbeatInterval)
		heard := 0
		reported.Range(func(any, any) bool { heard++; return true })
		if heard < machines {
			t.Errorf("%d of %d workers have sent a heartbeat", heard, machines)
		}
		if n := commands.Load(); n > machines/4 {
			t.Errorf("%d commands to %d machines that need none", n, machines)
		}
		c.advance(derived.Workers.Lease + derived.Workers.HeartbeatInterval)
		end()
		if n := c.world.TaskStarts() - starts; n != 0 || c.tasksOnMachines("j-1", 4*machines) != 4*machines {
			t.Errorf("%d tasks were restarted, %d of %d are running", n, c.tasksOnMachines("j-1", 4*machines), 4*machines)
		}
		if c.leader() == "" {
			t.Error("no controller leads")
		}
	})
}
