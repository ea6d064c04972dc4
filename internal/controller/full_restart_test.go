package controller

import (
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
)

// In these tests all controllers crash together and start again. Running tasks must be left alone,
// and only tasks that have ended are started again. The emulator checks the rules of the protocol.

// wideQuotas gives both teams quotas far above their guarantees.
func wideQuotas(s *settings.Settings) {
	s.Deployment.Teams = []settings.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 200}, {Name: "blue", GuaranteedCPUs: 8, MaxCPUs: 200}}
}

// fillFleet runs batch jobs of two teams that fill their machines, and returns the number of tasks.
func (c *cluster) fillFleet(batchJobs int) (tasks int) {
	c.t.Helper()
	for i := range batchJobs {
		spec := batchJob(fmt.Sprintf("j-%d", 100+i), 4, 4000)
		if i%2 == 0 {
			spec.Team = "red"
		}
		c.submit(c.names[i%3], spec)
	}
	tasks = 4 * batchJobs
	c.waitFor(2*time.Minute, "all tasks running", func() bool { return len(c.world.RunningTasks()) == tasks })
	c.advance(10 * time.Second)
	return tasks
}

// TestFullRestartKeepsRunningTasks checks that a restart shorter than the worker lease starts,
// stops and loses no task, and that after a longer one each task whose lease expired is
// started exactly once. Both teams are above their guarantees, so that preemption between them must
// not cost a start either.
func TestFullRestartKeepsRunningTasks(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 8 * time.Second, 24 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runCluster(t, wideQuotas, func(c *cluster) {
				tasks := c.fillFleet(20)
				before := c.world.TaskStarts()
				c.restartAll(pause)
				c.advance(time.Minute)
				ended := 0
				if pause > 20*time.Second {
					ended = tasks
				}
				if started := c.world.TaskStarts() - before; started != ended || len(c.world.RunningTasks()) != tasks {
					t.Errorf("%d tasks had ended, %d were started, %d of %d are running", ended, started, len(c.world.RunningTasks()), tasks)
				}
				progress := c.failoverProgress()
				if progress.Phase != reconcile.FailoverDone || progress.Reported != progress.Expected || progress.Expected != len(c.world.Machines()) {
					t.Errorf("failover %+v with %d machines", progress, len(c.world.Machines()))
				}
			})
		})
	}
}

// TestFailoverAfterFullRestart checks that controllers restarted after the leadership lease do not
// wait out the lease grants of their earlier incarnations: all have restarted and tell each other
// so. If one does not respond, it may rely on those grants, and the others wait.
func TestFailoverAfterFullRestart(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.fillFleet(4)
		lease := c.incarnations[c.names[0]].controller.derived.Election.LeaseDuration
		for range 5 {
			c.crash(c.names...)
			c.advance(2 * lease)
			if took := c.timeUntilLeader(c.names...); took > lease/4 {
				t.Errorf("led after %v with all controllers up; the leadership lease is %v", took, lease)
			}
			c.advance(5 * time.Second)
		}
		c.crash(c.names...)
		c.advance(2 * lease)
		if took := c.timeUntilLeader(c.names[:2]...); took < lease*9/10 {
			t.Errorf("led after %v, though one controller may rely on lease grants", took)
		}
		c.start(c.names[2])
	})
}

// TestRestartWhileLeaderReliesOnPeerLease guards against two leaders. The leader, which alone is
// cut off from the store, holds a peer lease when the other controllers restart: they have lost
// their lease grants, and must learn from the leader that it relies on them.
func TestRestartWhileLeaderReliesOnPeerLease(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.fillFleet(4)
		old, lease := c.leader(), c.incarnations[c.names[0]].controller.derived.Election.LeaseDuration
		c.world.Store.SetOutage(true)
		c.advance(2 * lease)
		if !c.incarnations[old].controller.elector.IsLeader() {
			t.Fatal("the leader does not hold a peer lease")
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
			leaders := 0
			for _, n := range c.names {
				if c.incarnations[n].controller.elector.IsLeader() {
					leaders++
				}
			}
			if leaders > 1 {
				t.Fatal("two controllers lead")
			}
			c.advance(10 * time.Millisecond)
		}
		c.world.Store.SetRefused(old, false)
		c.waitFor(time.Minute, "a leader", func() bool { return c.leader() != "" })
	})
}
