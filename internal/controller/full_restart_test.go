package controller

import (
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
)

// All controllers end together and come back. What runs goes on untouched, and only what is
// truly gone is begun once more. The stand-in judges all rules besides.

// wideQuotas lets both teams use far more than they are guaranteed.
func wideQuotas(s *settings.Settings) {
	s.Deployment.Teams = []settings.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 200}, {Name: "blue", GuaranteedCPUs: 8, MaxCPUs: 200}}
}

// fillFleet runs arrays of two teams on a fleet that they fill, and returns how many tasks.
func (c *cluster) fillFleet(arrays int) (tasks int) {
	c.t.Helper()
	for i := range arrays {
		spec := batchJob(fmt.Sprintf("j-%d", 100+i), 4, 4000)
		if i%2 == 0 {
			spec.Team = "red"
		}
		c.submit(c.names[i%3], spec)
	}
	tasks = 4 * arrays
	c.within(2*time.Minute, "fleet full", func() bool { return len(c.world.RunningTasks()) == tasks })
	c.advance(10 * time.Second)
	return tasks
}

// Shorter than the lease, no task is begun, stopped or lost; beyond it, each task that the
// lease has ended is begun exactly once, though both teams are beyond their guarantees and
// each would have the other's tasks stopped.
func TestRestartOfAllControllers(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 8 * time.Second, 24 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runCluster(t, wideQuotas, func(c *cluster) {
				tasks := c.fillFleet(20)
				before := c.world.TaskStarts()
				c.restartAll(pause)
				c.advance(time.Minute)
				gone := 0
				if pause > 20*time.Second {
					gone = tasks
				}
				if begun := c.world.TaskStarts() - before; begun != gone || len(c.world.RunningTasks()) != tasks {
					t.Errorf("%d tasks were gone, %d were begun, %d of %d run", gone, begun, len(c.world.RunningTasks()), tasks)
				}
				progress := c.takeoverProgress()
				if progress.Phase != reconcile.FailoverDone || progress.Reported != progress.Expected || progress.Expected != len(c.world.Machines()) {
					t.Errorf("take-over %+v with %d machines", progress, len(c.world.Machines()))
				}
			})
		})
	}
}

// Beyond the term's lease, restarted nodes need not wait out what their earlier lives may have
// promised: all have begun anew, and tell each other so. Where one does not answer, they wait.
func TestTakeOverAfterARestart(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.fillFleet(4)
		lease := c.processes[c.names[0]].controller.derived.Election.LeaseDuration
		for range 5 {
			c.crash(c.names...)
			c.advance(2 * lease)
			if took := c.timeUntilLeader(c.names...); took > lease/4 {
				t.Errorf("led after %v with all nodes up, a term lease is %v", took, lease)
			}
			c.advance(5 * time.Second)
		}
		c.crash(c.names...)
		c.advance(2 * lease)
		if took := c.timeUntilLeader(c.names[:2]...); took < lease*9/10 {
			t.Errorf("led after %v, though one node may rely on promises", took)
		}
		c.start(c.names[2])
	})
}

// The holder lives on promises, cut off from the state service alone, when the others are
// restarted: they are told that it relies on what their earlier lives have promised.
func TestRestartWhileTheHolderReliesOnPromises(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.fillFleet(4)
		old, lease := c.leader(), c.processes[c.names[0]].controller.derived.Election.LeaseDuration
		c.world.Store.SetOutage(true)
		c.advance(2 * lease)
		if !c.processes[old].controller.elector.IsLeader() {
			t.Fatal("the holder does not live on promises")
		}
		var others []string
		for _, n := range c.names {
			if n != old {
				others = append(others, n)
			}
		}
		c.crash(others...)
		c.world.Store.SetRefused(old, true)
		c.world.Store.SetOutage(false)
		for _, n := range others {
			c.start(n)
		}
		for range 3000 {
			led := 0
			for _, n := range c.names {
				if c.processes[n].controller.elector.IsLeader() {
					led++
				}
			}
			if led > 1 {
				t.Fatal("two nodes lead")
			}
			c.advance(10 * time.Millisecond)
		}
		c.world.Store.SetRefused(old, false)
		c.within(time.Minute, "a leader", func() bool { return c.leader() != "" })
	})
}
