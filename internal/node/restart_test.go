package node

import (
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
)

// All controllers end together and come back. What runs goes on untouched, and only what is
// truly gone is begun once more. The stand-in judges all rules besides.

// wideLimits lets both teams use far more than they are guaranteed.
func wideLimits(s *settings.Settings) {
	s.Deployment.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 200}, {Name: "blue", CPUs: 8, CPUsMax: 200}}
}

// fillFleet runs arrays of two teams on a fleet that they fill, and returns how many tasks.
func (c *cluster) fillFleet(arrays int) (tasks int) {
	c.t.Helper()
	for i := range arrays {
		spec := batch(fmt.Sprintf("j-%d", 100+i), 4, 4000)
		if i%2 == 0 {
			spec.Team = "red"
		}
		c.submit(c.names[i%3], spec)
	}
	tasks = 4 * arrays
	c.within(2*time.Minute, "fleet full", func() bool { return len(c.world.Running()) == tasks })
	c.run(10 * time.Second)
	return tasks
}

// restartAll ends all controllers and starts them again after a pause.
func (c *cluster) restartAll(pause time.Duration) {
	c.crash(c.names...)
	c.run(pause)
	for _, n := range c.names {
		c.start(n)
	}
}

// takeover is what the leader says of its take-over.
func (c *cluster) takeover() reconcile.Progress {
	for _, name := range c.names {
		if s := c.nodes[name].node.gate.Status(c.ctx); s != nil {
			return s.Takeover
		}
	}
	return reconcile.Progress{}
}

// Shorter than the lease, no task is begun, stopped or lost; beyond it, each task that the
// lease has ended is begun exactly once, though both teams are beyond their guarantees and
// each would have the other's tasks stopped.
func TestRestartOfAllControllers(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 8 * time.Second, 24 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			inCluster(t, wideLimits, func(c *cluster) {
				tasks := c.fillFleet(20)
				before := c.world.Starts()
				c.restartAll(pause)
				c.run(time.Minute)
				gone := 0
				if pause > 20*time.Second {
					gone = tasks
				}
				if begun := c.world.Starts() - before; begun != gone || len(c.world.Running()) != tasks {
					t.Errorf("%d tasks were gone, %d were begun, %d of %d run", gone, begun, len(c.world.Running()), tasks)
				}
				p := c.takeover()
				if p.Phase != reconcile.Settled || p.Heard != p.Expected || p.Expected != len(c.world.Machines()) {
					t.Errorf("take-over %+v with %d machines", p, len(c.world.Machines()))
				}
			})
		})
	}
}
