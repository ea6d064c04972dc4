package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/standin"
)

func TestQuietDay(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 10, 15))
		c.submit("perch-1", service("j-2", 2))
		c.withinDone(90*time.Second, "j-1")
		c.within(30*time.Second, "two replicas", func() bool { return c.on("j-2", 2) == 2 })
		if got := c.stance("j-2"); got != jobs.Running {
			t.Errorf("service is %s", got)
		}
		c.withdraw("perch-2", "j-2")
		c.within(10*time.Second, "replicas gone", func() bool { return c.on("j-2", 2) == 0 })
		if status, _ := c.ask("GET", "perch-1", "/v1/jobs/j-77", nil); status != http.StatusNotFound {
			t.Errorf("a job that nobody submitted: %d", status)
		}
		if status, view := c.ask("POST", "perch-0", "/v1/jobs", asUser(batch("j-1", 10, 15))); status != 200 || view["stance"] != "done" {
			t.Errorf("repeated submission of a done job: %d %v", status, view)
		}
		// A fleet without work is given back.
		c.within(90*time.Second, "machines returned", func() bool { return len(c.world.Machines()) == 0 })
		if live := c.inBook(); len(live) > 0 {
			t.Errorf("still in the book: %v", live)
		}
	})
}

// A crash of the leader, again and again, must lose no task's work for good,
// start none twice and keep services up.
func TestLeaderCrashes(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", service("j-1", 2))
		c.within(40*time.Second, "service up", func() bool { return c.on("j-1", 2) == 2 })
		c.submit("perch-0", batch("j-2", 12, 20))
		for range 4 {
			c.run(7 * time.Second)
			old := c.leader()
			c.crash(old)
			c.within(15*time.Second, "another leader", func() bool { l := c.leader(); return l != "" && l != old })
			c.start(old)
			if c.on("j-1", 2) != 2 {
				t.Error("a take-over cost replicas of the service")
			}
		}
		c.withinDone(120*time.Second, "j-2")
		if starts := c.world.Starts(); starts != 14 {
			t.Errorf("%d starts for 14 tasks: take-overs cost work", starts)
		}
	})
}

// Whatever ends the controllers, all at once, twice within a worker lease, one after
// the other in a burst, or in an outage of the state service: the work goes on, and
// no task begins twice.
func TestAllControllersRestart(t *testing.T) {
	all := func(c *cluster, down time.Duration) {
		c.crash(c.names...)
		c.run(down)
		for _, n := range c.names {
			c.start(n)
		}
	}
	for _, tc := range []struct {
		name    string
		trouble func(c *cluster)
		tasks   int // that are submitted meanwhile
	}{
		{"at once", func(c *cluster) { all(c, 3*time.Second) }, 0},
		{"back in a moment", func(c *cluster) { all(c, 200*time.Millisecond) }, 0},
		{"twice within a lease", func(c *cluster) {
			all(c, 3*time.Second)
			c.run(4 * time.Second)
			all(c, 3*time.Second)
		}, 0},
		{"in mid-election", func(c *cluster) {
			all(c, 3*time.Second)
			c.run(1500 * time.Millisecond)
			all(c, 200*time.Millisecond)
		}, 0},
		{"one after the other in a burst", func(c *cluster) {
			for i, n := range c.names {
				c.submit(c.names[(i+1)%len(c.names)], batch(fmt.Sprintf("j-1%d", i), 8, 9))
				c.crash(n)
				c.run(2 * time.Second)
				c.start(n)
				c.submit(c.names[(i+1)%len(c.names)], batch(fmt.Sprintf("j-2%d", i), 8, 9))
				c.run(5 * time.Second)
			}
		}, 48},
		{"in an outage of the state service", func(c *cluster) {
			c.world.State.Down(true)
			c.run(3 * time.Second)
			all(c, time.Second)
			c.run(3 * time.Second)
			c.world.State.Down(false)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, nil, func(c *cluster) {
				c.allUp()
				tc.trouble(c)
				c.withinDone(120*time.Second, "j-2")
				c.run(60 * time.Second)
				if starts := c.world.Starts(); c.on("j-1", 2) != 2 || starts != 8+tc.tasks {
					t.Errorf("%d starts for %d tasks", starts, 8+tc.tasks)
				}
			})
		})
	}
}

// A machine without power is confirmed by a failed call and given back, which
// frees its tasks before its lease would.
func TestMachineDies(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", service("j-1", 2))
		c.within(40*time.Second, "service up", func() bool { return c.on("j-1", 2) == 2 })
		c.world.Kill(c.world.On("j-1/0")[0])
		c.within(40*time.Second, "replica elsewhere", func() bool { return c.on("j-1", 2) == 2 })
	})
}

// A hanging machine may go on at any time within its lease; while the cloud
// does not answer, only the end of the lease frees its tasks.
func TestHangingMachine(t *testing.T) {
	for _, hang := range []time.Duration{8 * time.Second, 15 * time.Second, 30 * time.Second, 90 * time.Second} {
		t.Run(hang.String(), func(t *testing.T) {
			inCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", service("j-1", 2))
				c.submit("perch-0", batch("j-2", 3, 60))
				c.within(40*time.Second, "all up", func() bool { return c.on("j-1", 2) == 2 && c.on("j-2", 3) == 3 })
				c.world.CloudDown(true)
				w := c.world.Worker(c.world.On("j-1/0")[0])
				w.Hang(true)
				c.run(hang)
				w.Hang(false)
				c.world.CloudDown(false)
				c.within(60*time.Second, "service whole", func() bool { return c.on("j-1", 2) == 2 })
				c.withinDone(200*time.Second, "j-2")
			})
		})
	}
}

// An order may be executed long after it was given up. By then its task has run,
// and its end has been cleared: only a higher token, seen by the worker in the
// meantime, keeps the order from starting it once more.
func TestOrderArrivesLate(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 4, 300)) // keeps its machines
		c.within(60*time.Second, "running", func() bool { return c.on("j-1", 4) == 4 })
		c.submit("perch-0", batch("j-2", 4, 30)) // makes room beside it
		c.withinDone(120*time.Second, "j-2")
		c.world.Net.Lateness = 15 * time.Second
		c.world.Net.Faults(func(_, _, path string) standin.Fault {
			if path == "/orders" {
				return standin.Late
			}
			return standin.Deliver
		})
		before := c.world.Starts()
		c.submit("perch-0", batch("j-3", 2, 2))
		c.withinDone(60*time.Second, "j-3")
		c.run(30 * time.Second)
		if n := c.world.Starts() - before; n != 2 {
			t.Errorf("%d starts for 2 tasks", n)
		}
	})
}

// What an old leader wrote may reach the state service after its successor has
// read the records. It must not be applied: nobody would know of it.
func TestOldLeaderWritesLate(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 4, 10))
		c.withinDone(60*time.Second, "j-1")
		old := c.leader()
		c.world.Net.Lateness = 8 * time.Second
		c.world.Net.Faults(func(from, _, path string) standin.Fault {
			if from == old && path == "/commit" {
				return standin.Late
			}
			return standin.Deliver
		})
		other := c.names[0]
		if other == old {
			other = c.names[1]
		}
		c.submit(other, batch("j-2", 2, 1))
		c.run(time.Second)
		c.crash(old)
		c.withinDone(60*time.Second, "j-2")
		c.within(90*time.Second, "machines returned", func() bool { return len(c.world.Machines()) == 0 })
		if live := c.inBook(); len(live) > 0 {
			t.Errorf("the old leader's assignments were recorded late: %v", live)
		}
	})
}

// A cancellation that reaches the state service after the job is done must not
// turn it back, nor may its user be told that it was cancelled.
func TestCancelRacesDone(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 2, 12))
		c.within(40*time.Second, "running", func() bool { return c.on("j-1", 2) == 2 })
		c.run(11 * time.Second)
		node := c.names[0]
		if node == c.leader() {
			node = c.names[1]
		}
		c.world.Net.Lateness = 3 * time.Second
		c.world.Net.Faults(func(from, _, path string) standin.Fault {
			if from == node && path == "/commit" {
				return standin.Late
			}
			return standin.Deliver
		})
		if status, view := c.ask("POST", node, "/v1/jobs/j-1/withdraw", nil); status == http.StatusOK && view["stance"] != "done" {
			t.Errorf("told %v", view)
		}
		c.withinDone(10*time.Second, "j-1")
		c.run(10 * time.Second)
		if got := c.stance("j-1"); got != jobs.Done {
			t.Errorf("done went back to %s", got)
		}
	})
}

// Answers of the state service get lost: transactions may or may not have been
// applied, and submissions and cancellations are repeated by their users.
func TestTransactionOutcomesUnknown(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		n := 0
		c.world.Net.Faults(func(from, to, path string) standin.Fault {
			if path != "/commit" {
				return standin.Deliver
			}
			n++
			switch n % 4 {
			case 1:
				return standin.LoseAnswer
			case 3:
				return standin.Late
			}
			return standin.Deliver
		})
		s := batch("j-1", 8, 10)
		c.world.Upload(s)
		accepted := func() bool {
			status, _ := c.ask("POST", "perch-1", "/v1/jobs", asUser(s))
			return status == 200 || status == 201
		}
		c.within(30*time.Second, "accepted", accepted)
		c.withinDone(200*time.Second, "j-1")
		c.world.Net.Faults(nil)
		c.run(2 * time.Minute)
		if got := c.stance("j-1"); got != jobs.Done {
			t.Errorf("done went back to %s", got)
		}
		if c.world.Starts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.world.Starts())
		}
	})
}

// A user cancels while the job's machines cannot be reached: their lease has
// to end the tasks, and none may start again.
func TestCancelOnUnreachableMachines(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 8, 300))
		c.within(40*time.Second, "running", func() bool { return c.on("j-1", 8) == 8 })
		cut := c.world.On("j-1/0")[0]
		c.world.Net.Faults(func(from, to, _ string) standin.Fault {
			if from == cut || to == cut {
				return standin.Silent
			}
			return standin.Deliver
		})
		c.withdraw("perch-2", "j-1")
		c.run(41 * time.Second)
		c.world.Net.Faults(nil)
		c.run(time.Minute)
		if n := c.on("j-1", 8); n != 0 {
			t.Errorf("%d tasks of a cancelled job", n)
		}
	})
}

// A leader that the state service refuses must fall silent to workers before
// another can lead.
func TestLeaderRefusedByState(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", service("j-1", 2))
		c.within(40*time.Second, "service up", func() bool { return c.on("j-1", 2) == 2 })
		old := c.leader()
		c.world.State.RefuseFrom(old, true)
		c.within(15*time.Second, "another leader", func() bool { l := c.leader(); return l != "" && l != old })
		c.run(30 * time.Second)
		if c.on("j-1", 2) != 2 || c.world.Starts() != 2 {
			t.Errorf("the move cost replicas: %d starts", c.world.Starts())
		}
		c.world.State.RefuseFrom(old, false)
		c.run(10 * time.Second)
	})
}

// A team stays within its limit, whatever is asked, and gets its guarantee
// from what another team has borrowed.
func TestQuotaAndGuarantee(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.world.Capacity(4) // 16 CPUs in all
		c.submit("perch-0", batch("j-1", 60, 30))
		c.within(60*time.Second, "blue has borrowed", func() bool { return c.on("j-1", 60) == 16 })
		red := batch("j-2", 8, 20)
		red.Team = "red"
		c.submit("perch-1", red)
		c.within(15*time.Second, "red has its guarantee", func() bool { return c.on("j-2", 8) == 8 })
		over := batch("j-3", 40, 5)
		over.Team = "red"
		c.submit("perch-1", over)
		c.withinDone(5*time.Minute, "j-3")
	})
}

// A service goes first: it takes the place of work of lower priority.
func TestPreemption(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.world.Capacity(2)
		low := batch("j-1", 8, 200)
		low.Priority, low.CheckpntS, low.SaveS, low.Spot = jobs.BestEffort, 10, 2, false
		c.submit("perch-0", low)
		c.within(40*time.Second, "machines full", func() bool { return c.on("j-1", 8) == 8 })
		s := service("j-2", 2)
		s.Spread = false
		c.submit("perch-0", s)
		c.within(15*time.Second, "service up", func() bool { return c.on("j-2", 2) == 2 })
	})
}

// While no node reaches the state service, the others' promises let the leader
// keep the workers' leases: running work survives, and nothing new is begun.
func TestStateOutage(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		c.world.State.Down(true)
		if status, _ := c.ask("POST", "perch-0", "/v1/jobs", asUser(batch("j-3", 1, 1))); status != http.StatusServiceUnavailable {
			t.Errorf("submission during an outage: %d", status)
		}
		c.run(time.Minute)
		c.world.State.Down(false)
		c.withinDone(30*time.Second, "j-2")
		if c.on("j-1", 2) != 2 || c.world.Starts() != 8 {
			t.Errorf("the outage cost work: %d starts for 8 tasks", c.world.Starts())
		}
	})
}

// A token raised within the term, to end a doubt, must not make the others take
// the holder for one that has been succeeded, and refuse their promises.
func TestOutageAfterRaisedToken(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		c.world.Net.Faults(func(_, _, path string) standin.Fault {
			if path == "/orders" {
				return standin.Late
			}
			return standin.Deliver
		})
		token := string(c.world.State.Value("term/token"))
		c.submit("perch-0", batch("j-3", 2, 1))
		c.withinDone(60*time.Second, "j-3")
		if string(c.world.State.Value("term/token")) == token {
			t.Fatal("no token was raised")
		}
		c.world.Net.Faults(nil)
		c.run(10 * time.Second)
		c.world.State.Down(true)
		c.run(time.Minute)
		c.world.State.Down(false)
		if n := c.on("j-1", 2); n != 2 {
			t.Errorf("%d of 2 replicas after the outage", n)
		}
	})
}

// allUp starts a service and an array and waits until all their tasks run.
func (c *cluster) allUp() {
	c.t.Helper()
	c.submit("perch-0", service("j-1", 2))
	c.submit("perch-0", batch("j-2", 6, 60))
	c.within(40*time.Second, "all up", func() bool { return c.on("j-1", 2) == 2 && c.on("j-2", 6) == 6 })
}

// Without every promise the leader falls silent, and the work ends with the
// workers' leases. It must not end in two leaders.
func TestOutageWithoutPromises(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		old := c.leader()
		c.world.Net.Faults(func(from, to, path string) standin.Fault {
			if path == standin.Stream {
				return standin.Refuse
			}
			return standin.Deliver
		})
		c.world.State.Down(true)
		c.run(30 * time.Second)
		if n := c.on("j-1", 2) + c.on("j-2", 6); n != 0 {
			t.Errorf("%d tasks outlived their leases under leader %s", n, old)
		}
		c.world.State.Down(false)
		c.world.Net.Faults(nil)
		c.withinDone(3*time.Minute, "j-2")
	})
}

// A follower that restarts during an outage has forgotten its promise. When the
// outage ends for it before it does for the leader, it waits the promise out.
func TestRestartAmidPromises(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		old := c.leader()
		c.world.State.Down(true)
		c.run(10 * time.Second)
		for _, n := range c.names {
			if n != old {
				c.crash(n)
				c.run(300 * time.Millisecond)
				c.start(n)
			}
		}
		c.world.State.RefuseFrom(old, true)
		c.world.State.Down(false)
		c.within(30*time.Second, "another leader", func() bool { l := c.leader(); return l != "" && l != old })
		c.run(20 * time.Second)
		c.world.State.RefuseFrom(old, false)
		c.withinDone(3*time.Minute, "j-2")
	})
}

// A user cancels at a node that the state service serves, while it refuses the
// leader alone: the leader gets no promises and may not keep the job alive.
func TestCancelWhileLeaderIsRefused(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		old := c.leader()
		c.world.State.RefuseFrom(old, true)
		c.run(time.Second)
		for _, n := range c.names {
			if n != old {
				c.withdraw(n, "j-1")
				break
			}
		}
		c.within(30*time.Second, "replicas gone", func() bool { return c.on("j-1", 2) == 0 })
		c.world.State.RefuseFrom(old, false)
	})
}

// A leader that no worker reaches any more makes way for one that they reach.
func TestLeaderLosesWorkers(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		old := c.leader()
		c.world.Net.Faults(func(from, to, path string) standin.Fault {
			if from == old && strings.HasPrefix(to, "m-") || to == old && strings.HasPrefix(from, "m-") {
				return standin.Silent
			}
			return standin.Deliver
		})
		c.within(30*time.Second, "another leader", func() bool { l := c.leader(); return l != "" && l != old })
		c.run(20 * time.Second)
		if c.on("j-1", 2) != 2 || c.world.Starts() != 8 {
			t.Errorf("the move cost work: %d starts for 8 tasks", c.world.Starts())
		}
		c.world.Net.Faults(nil)
	})
}

// Many tasks in one job: completions are kept in chunks that fit a value.
func TestManyTasks(t *testing.T) {
	tweak := func(s *settings.Settings) { s.Deployment.State.ValueKB, s.Deployment.State.TxnOps = 1, 4 }
	inCluster(t, tweak, func(c *cluster) {
		c.world.State.Limit(standin.Limits{ValueBytes: 1 << 10, TxnOps: 4, Writes: 1000}) // fewer than there are machines
		c.submit("perch-0", batch("j-1", 2500, 0.5))
		c.run(45 * time.Second)
		c.crash(c.leader())
		c.run(20 * time.Second)
		for _, k := range c.world.State.Keys("") {
			if n := len(c.world.State.Value(k)); n > 1024 {
				t.Errorf("%s has %d bytes", k, n)
			}
		}
		c.withinDone(20*time.Minute, "j-1")
		if n := c.world.Starts(); n < 2500 || n > 2600 {
			t.Errorf("%d starts for 2500 tasks", n)
		}
	})
}

// The state service's limits fall without notice: in a burst, in an outage, in a
// change of leader. Nothing that was written before, or is on its way, is too large.
func TestLimitsFall(t *testing.T) {
	kb, writes, ops := 2.0, 35.0, 4
	tweak := func(s *settings.Settings) {
		s.Deployment.State.Next = &settings.NextState{ValueKB: &kb, WriteRPS: &writes, TxnOps: &ops}
	}
	lower := standin.Limits{ValueBytes: 2 << 10, TxnOps: 4, Writes: 2 * 35} // a burst may come on top
	for _, tc := range []struct {
		name    string
		trouble func(c *cluster)
	}{
		{"in a burst", func(c *cluster) { c.world.State.Limit(lower) }},
		{"in an outage", func(c *cluster) {
			c.world.State.Down(true)
			c.run(5 * time.Second)
			c.world.State.Limit(lower)
			c.world.State.Down(false)
		}},
		{"in a change of leader", func(c *cluster) {
			c.crash(c.leader())
			c.world.State.Limit(lower)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, tweak, func(c *cluster) {
				c.allUp()
				c.submit("perch-0", batch("j-3", 300, 5))
				c.submit("perch-1", batch("j-4", 100, 5))
				c.run(3 * time.Second)
				tc.trouble(c)
				for _, id := range []string{"j-2", "j-3", "j-4"} {
					c.withinDone(10*time.Minute, id)
				}
				if n := c.world.State.Rejected(); n > 0 {
					t.Errorf("%d transactions were too large", n)
				}
				if n := c.world.Starts(); n != 408 {
					t.Errorf("%d starts for 408 tasks", n)
				}
			})
		})
	}
}

// The limits fall below what the settings say. What is rejected is not repeated as it
// is: smaller pages are tried, and the work goes on.
func TestLimitsLowerThanSaid(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		c.world.State.Limit(standin.Limits{ValueBytes: 700, TxnOps: 12, Writes: 1000})
		c.submit("perch-0", batch("j-3", 300, 5))
		c.submit("perch-1", batch("j-4", 300, 5))
		for _, id := range []string{"j-2", "j-3", "j-4"} {
			c.withinDone(5*time.Minute, id)
		}
		if n := c.world.State.Rejected(); n == 0 || n > 20 {
			t.Errorf("%d transactions were rejected", n)
		}
	})
}

// Small values: what the records need not say is left out of them.
func TestSmallValues(t *testing.T) {
	kb := 2.0
	tweak := func(s *settings.Settings) { s.Deployment.State.Next = &settings.NextState{ValueKB: &kb} }
	inCluster(t, tweak, func(c *cluster) {
		c.world.State.Limit(standin.Limits{ValueBytes: 2 << 10, TxnOps: 12, Writes: 1000})
		s := batch("j-1", 2, 5)
		for i := range 300 {
			s.Types = append(s.Types, fmt.Sprint("of-another-cloud-", i))
		}
		s.Types = append(s.Types, "c4")
		c.submit("perch-0", s)
		c.withinDone(60*time.Second, "j-1")

		// One that was accepted when values could be larger, and is cancelled now.
		old := batch("j-2", 2, 500)
		old.Types = s.Types
		raw, _ := json.Marshal(jobs.Record{State: jobs.Queued, Tasks: 2, Spec: old})
		c.world.State.Put("job/j-2", raw)
		c.world.Submitted("j-2")
		c.world.Upload(old)
		c.within(60*time.Second, "the old one runs", func() bool { return c.on("j-2", 2) == 2 })
		c.withdraw("perch-1", "j-2")
		c.within(20*time.Second, "it is gone", func() bool { return c.on("j-2", 2) == 0 })
		if n := c.world.State.Rejected(); n > 0 {
			t.Errorf("%d transactions were too large", n)
		}
	})
}

// A catalog that does not fit into one value is kept in parts, for a node that starts
// while the cloud is away.
func TestLargeCatalog(t *testing.T) {
	old := testTypes
	defer func() { testTypes = old }()
	for i := range 30 {
		another := old[0]
		another.Name, another.Price, another.SpotPrice = fmt.Sprint("dear-", i), 100, 50
		testTypes = append(testTypes[:len(testTypes):len(testTypes)], another)
	}
	kb := 2.0
	tweak := func(s *settings.Settings) { s.Deployment.State.Next = &settings.NextState{ValueKB: &kb} }
	inCluster(t, tweak, func(c *cluster) {
		c.run(20 * time.Second)
		c.world.CloudDown(true)
		c.crash(c.names...)
		for _, n := range c.names {
			c.start(n)
		}
		c.run(10 * time.Second)
		c.submit("perch-0", batch("j-1", 2, 5)) // 503 from a node that knows no types
		c.world.CloudDown(false)
		c.withinDone(2*time.Minute, "j-1")
	})
}

// A slow machine is found by the siblings of its tasks, which then run elsewhere.
func TestSlowMachine(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batch("j-1", 12, 20))
		c.within(60*time.Second, "running", func() bool { return c.on("j-1", 12) >= 8 })
		c.world.Worker(c.world.On("j-1/0")[0]).Slow(20)
		c.withinDone(120*time.Second, "j-1")
	})
}

// Users go to other nodes while the state service refuses this one alone; in an
// outage of all, no node turns them away.
func TestReadiness(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		up := func(node string) bool {
			status, _ := c.ask("GET", node, "/up", nil)
			return status == http.StatusOK
		}
		follower := c.names[0]
		if follower == c.leader() {
			follower = c.names[1]
		}
		c.world.State.RefuseFrom(follower, true)
		c.ask("GET", follower, "/v1/jobs/j-1", nil)
		c.within(5*time.Second, "the refused node is not ready", func() bool { return !up(follower) })
		c.world.State.RefuseFrom(follower, false)
		c.within(5*time.Second, "ready again", func() bool { return up(follower) })
		c.world.State.Down(true)
		for range 20 {
			c.run(500 * time.Millisecond)
			for _, n := range c.names {
				c.ask("GET", n, "/v1/jobs/j-1", nil)
			}
		}
		for _, n := range c.names {
			if !up(n) {
				t.Errorf("%s turns users away in an outage of all", n)
			}
		}
		c.world.State.Down(false)
	})
}

// Operators read the leader's view on the cluster listener, beside the peers.
func TestStatusAndMetrics(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		c.allUp()
		get := func(node, path string) string {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return c.world.Net.Dial(ctx, "operator", addr)
			}}}
			resp, err := client.Get("http://" + clusterOf(node) + path)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
		leader := c.leader()
		var s Status
		if err := json.Unmarshal([]byte(get(leader, "/status")), &s); err != nil {
			t.Fatal(err)
		}
		if !s.Leading || s.View == nil || len(s.View.Machines) == 0 || len(s.View.Classes) != 2 {
			t.Errorf("status of the leader: %+v", s)
		}
		for _, n := range c.names {
			if n != leader && !strings.Contains(get(n, "/status"), `"leader":"`+leader+`"`) {
				t.Errorf("%s does not name the leader", n)
			}
		}
		for _, want := range []string{
			"ospreyslip_leading 1", `ospreyslip_tasks_placed{class="web"} 2`, `ospreyslip_team_cpus{team="blue"} 6`, `ospreyslip_machines{state="busy"}`,
		} {
			if got := get(leader, "/metrics"); !strings.Contains(got, want) {
				t.Errorf("metrics lack %q:\n%s", want, got)
			}
		}
	})
}

func TestUserMistakes(t *testing.T) {
	inCluster(t, nil, func(c *cluster) {
		change := func(field string, v any) map[string]any {
			m := asUser(batch("j-9", 2, 5))
			m[field] = v
			return m
		}
		drop := func(field string) map[string]any {
			m := asUser(batch("j-9", 2, 5))
			delete(m, field)
			return m
		}
		for _, tc := range []struct {
			name string
			body any
			want int
		}{
			{"not an object", []int{1}, 400},
			{"bad id", change("id", "job-9"), 400},
			{"id is a number", change("id", 9), 400},
			{"no tasks", change("talons", 0), 400},
			{"too many tasks", change("talons", 100001), 400},
			{"half a task", change("talons", 1.5), 400},
			{"negative amount", change("vcpus", -1), 400},
			{"null flag", change("scatter", nil), 400},
			{"missing class", drop("flock"), 400},
			{"unknown shape", change("shape", "circle"), 400},
			{"unknown priority", change("rank", "highest"), 400},
			{"types not a list", change("perches", "c4"), 400},
			{"null in types", change("perches", []any{nil}), 400},
			{"body too large", change("plumage", strings.Repeat("x", 70000)), 400},
			{"unknown team", change("crew", "green"), 422},
			{"fits no machine", change("vcpus", 5), 422},
			{"fits no such type", change("perches", []string{"g8"}), 422},
			{"unknown field", change("colour", "red"), 201},
			{"again, null allowed", change("duskS", nil), 200},
		} {
			if status, view := c.ask("POST", "perch-0", "/v1/jobs", tc.body); status != tc.want {
				t.Errorf("%s: %d %v, want %d", tc.name, status, view, tc.want)
			}
		}
		big := service("j-10", 9) // 18 CPUs of a limit of 16
		if status, _ := c.ask("POST", "perch-0", "/v1/jobs", asUser(big)); status != 422 {
			t.Errorf("a service beyond its team's limit: %d", status)
		}
		if status, _ := c.ask("DELETE", "perch-0", "/v1/jobs/j-9", nil); status != 405 {
			t.Errorf("unknown method: %d", status)
		}
	})
}
