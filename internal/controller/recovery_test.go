package controller

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/settings"
)

// The state service loses records while controllers and machines work. The stand-in judges
// all rules: no job is forgotten, none that is over runs again or is called otherwise, no
// task runs twice. What is asserted here is that the records are whole again, and that
// nothing was begun or stopped that need not have been.

// Records are lost one by one, all of jobs, or everything; with a trace in the watch or
// without one. The caches and the leader know enough to write all of them again.
func TestRecordsLostAndWrittenAgain(t *testing.T) {
	for name, lost := range map[string]func(string) bool{
		"one unfinished": emulator.WithKey("job/j-2"),
		"one done":       emulator.WithKey("job/j-3"),
		"one cancelled":  emulator.WithKey("job/j-4"),
		"all jobs":       emulator.WithPrefix("job/"),
		"the log":        emulator.WithPrefix("book/"),
		"everything":     emulator.WithPrefix(""),
	} {
		for _, silently := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silently %v", name, silently), func(t *testing.T) {
				// Without a trace, only an audit finds out.
				runCluster(t, audited(20), func(c *cluster) {
					c.runOneJobOfEachKind()
					c.checkUndisturbed(func() {
						c.world.Store.LoseKeys(silently, lost)
						c.advance(2 * time.Second)
						c.checkStateEverywhere("j-1", jobs.Running, jobs.Queued, "503")
						c.checkStateEverywhere("j-3", jobs.Done, "503")
						c.checkStateEverywhere("j-4", jobs.Cancelled, "503")
						c.advance(80 * time.Second)
						c.withinRecovered(3 * time.Minute)
					})
					c.checkRecords(jobs.Queued, "j-1", "j-2")
					c.checkRecords(jobs.Done, "j-3")
					c.checkRecords(jobs.Cancelled, "j-4")
					c.submit("perch-1", batchJob("j-9", 1, 5))
					c.withinDone(time.Minute, "j-9")
					c.checkStateEverywhere("j-77", "404")
					for range 3 { // and it outlasts whoever knew
						c.replaceLeader()
						c.advance(25 * time.Second)
					}
					if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
						t.Errorf("%d of 6 tasks run under later leaders", n)
					}
				})
			})
		}
	}
}

// audited has all records compared so often.
func audited(seconds float64) func(*settings.Settings) {
	return func(set *settings.Settings) { set.Operator.AuditS = seconds }
}

// The service is put back to before a job was done, another cancelled, and a third
// accepted. None of it is taken back.
func TestServicePutBack(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.submit("perch-1", batchJob("j-2", 4, 400))
		c.submit("perch-0", batchJob("j-3", 2, 15))
		c.submit("perch-0", batchJob("j-4", 2, 400))
		c.within(60*time.Second, "running", func() bool {
			return c.tasksOnMachines("j-1", 2)+c.tasksOnMachines("j-2", 4)+c.tasksOnMachines("j-3", 2)+c.tasksOnMachines("j-4", 2) == 10
		})
		before := c.world.Store.Backup()
		c.withinDone(60*time.Second, "j-3")
		c.cancelJob("perch-1", "j-4")
		c.submit("perch-2", batchJob("j-5", 2, 400))
		c.within(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-5", 2) == 2 })
		c.advance(10 * time.Second)
		c.checkUndisturbed(func() {
			c.world.Store.Restore(before)
			c.advance(5 * time.Second)
			c.checkStateEverywhere("j-3", jobs.Done, "503")
			c.checkStateEverywhere("j-4", jobs.Cancelled, "503")
			c.checkStateEverywhere("j-5", jobs.Running, jobs.Queued, "503")
			c.withinRecovered(3 * time.Minute)
		})
		c.checkRecords(jobs.Done, "j-3")
		c.checkRecords(jobs.Cancelled, "j-4")
		c.checkRecords(jobs.Queued, "j-1", "j-2", "j-5")
		c.replaceLeader()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-5", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
			t.Errorf("%d of 6 tasks run under the next leader", n)
		}
	})
}

// Segments of the assignment log are lost, and the leader ends before it can write them
// again. The next one adopts what workers show, and begins nothing twice.
func TestLogLostAndLeaderEnds(t *testing.T) {
	for name, lost := range map[string]func(string) bool{
		"a segment":   emulator.WithKey("book/0"),
		"some":        func(key string) bool { return strings.HasPrefix(key, "book/") && key != "book/1" },
		"the records": emulator.WithPrefix("job/"),
		"both":        func(key string) bool { return !strings.HasPrefix(key, "term/") },
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.runOneJobOfEachKind()
				c.checkUndisturbed(func() {
					old := c.leader()
					c.crash(old)
					c.world.Store.LoseKeys(true, lost)
					c.withinAnotherLeader(15*time.Second, old)
					c.advance(5 * time.Second)
					c.start(old)
					c.withinRecovered(5 * time.Minute)
				})
				if status := c.recoveryStatus(); len(status.Evidence) == 0 {
					t.Error("nothing was noticed")
				}
				c.checkRecords(jobs.Done, "j-3")
				c.checkRecords(jobs.Cancelled, "j-4")
				c.advance(30 * time.Second)
				c.replaceLeader()
				c.advance(time.Minute)
				if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
					t.Errorf("%d of 6 tasks run under the leader after that", n)
				}
			})
		})
	}
}

// All controllers end, all records are lost, and they come back: only the workers know
// anything. Nothing is stopped, nothing they show is forgotten, and the next repeated
// submission brings each job back; what nobody shows is an operator's to decide.
func TestAllControllersEndAndEverythingIsLost(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		starts := c.world.TaskStarts()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		c.advance(time.Second)
		for _, n := range c.names {
			c.start(n)
		}
		c.within(time.Minute, "the loss is noticed", func() bool { return len(c.recoveryStatus().Evidence) > 0 })
		c.within(2*time.Minute, "what workers show is held", func() bool { return c.recoveryStatus().Held == 4 })
		c.withinRecovered(2 * time.Minute)
		c.checkStateEverywhere("j-1", jobs.Queued, jobs.Running)
		c.checkStateEverywhere("j-2", jobs.Queued, jobs.Running)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 6 tasks run on, %d began", n, c.world.TaskStarts()-starts)
		}
		if err := c.settleJob("j-2", recovery.SettleRun); err == nil {
			t.Error("a job without a description was let run")
		}
		if err := c.settleJob("j-2", recovery.SettleDone); err == nil {
			t.Error("a job that runs was called done")
		}
		for id, spec := range map[string]*jobs.Spec{"j-1": serviceJob("j-1", 2), "j-2": batchJob("j-2", 4, 400)} {
			if status, _ := c.request("POST", "perch-1", "/v1/jobs", wireSpec(spec)); status != http.StatusOK {
				t.Errorf("%s submitted again: %d", id, status)
			}
		}
		c.within(time.Minute, "described", func() bool { return c.describedHeldJobs() == 2 })
		for _, id := range []string{"j-1", "j-2"} {
			if err := c.settleJob(id, recovery.SettleRun); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		c.checkUndisturbed(func() {
			// Tasks of the other two are listed by workers, but nobody can tell how they ended.
			c.within(time.Minute, "no longer held", func() bool { return c.recoveryStatus().Held == 2 })
		})
		c.replaceLeader()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 || c.world.TaskStarts() != starts {
			t.Errorf("under the next leader: %d of 6 tasks run on, %d began", n, c.world.TaskStarts()-starts)
		}
		c.cancelJob("perch-0", "j-2")
		c.within(30*time.Second, "cancelled tasks gone", func() bool { return c.tasksOnMachines("j-2", 4) == 0 })
	})
}

// A held job that its user cancels is off its machines in time, though no record said
// where it was.
func TestHeldJobIsCancelled(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		for _, n := range c.names {
			c.start(n)
		}
		c.within(2*time.Minute, "held", func() bool { return c.recoveryStatus().Held == 4 })
		c.cancelJob("perch-2", "j-2")
		c.within(30*time.Second, "cancelled tasks gone", func() bool { return c.tasksOnMachines("j-2", 4) == 0 })
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2); n != 2 {
			t.Errorf("%d of 2 tasks of the other job run", n)
		}
	})
}

// Of a gang some tasks are known, or all: all go on, or all stop and begin anew together.
func TestGangWithoutItsRecords(t *testing.T) {
	for _, partly := range []bool{false, true} {
		t.Run(fmt.Sprint("partly ", partly), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", gangJob("j-1", 3, 300))
				c.within(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 3) == 3 })
				c.advance(20 * time.Second)
				starts := c.world.TaskStarts()
				old := c.leader()
				c.crash(old)
				c.world.Store.LoseKeys(true, emulator.WithPrefix("book/"))
				if partly {
					c.world.KillMachine(c.world.MachinesOf("j-1/1")[0])
				}
				c.withinAnotherLeader(15*time.Second, old)
				c.start(old)
				c.advance(2 * time.Minute)
				switch n, began := c.tasksOnMachines("j-1", 3), c.world.TaskStarts()-starts; {
				case n != 3:
					t.Errorf("partly %v: %d of 3 tasks run", partly, n)
				case !partly && began > 0:
					t.Errorf("%d tasks of a whole gang began anew", began)
				}
			})
		})
	}
}

// All controllers end and everything is lost. A snapshot from before one job's completion,
// another's cancellation and a third's acceptance brings back what it proves, and no more:
// what was unfinished in it is held, but what workers show goes on running.
func TestSnapshotOlderThanTheLoss(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 2, 5))
		c.submit("perch-0", batchJob("j-2", 2, 400))
		c.submit("perch-0", batchJob("j-3", 2, 400))
		c.withinDone(time.Minute, "j-1")
		c.submit("perch-0", batchJob("j-4", 2, 25))
		c.within(time.Minute, "running", func() bool {
			return c.tasksOnMachines("j-2", 2)+c.tasksOnMachines("j-3", 2)+c.tasksOnMachines("j-4", 2) == 6
		})
		taken := c.takeSnapshot()
		c.withinDone(time.Minute, "j-4") // after the snapshot, as is the rest
		c.cancelJob("perch-1", "j-3")
		c.submit("perch-1", batchJob("j-5", 1, 400))
		c.within(time.Minute, "running", func() bool { return c.tasksOnMachines("j-5", 1) == 1 && c.tasksOnMachines("j-3", 2) == 0 })
		c.advance(15 * time.Second)
		starts := c.world.TaskStarts()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		for _, n := range c.names {
			c.start(n)
		}
		c.within(time.Minute, "the loss is noticed", func() bool { return len(c.recoveryStatus().Evidence) > 0 })
		foreign := *taken
		foreign.Manifest.Cluster = "another"
		if _, err := c.importSnapshot(&foreign); !errors.Is(err, recovery.ErrRefused) {
			t.Errorf("a snapshot of another deployment: %v", err)
		}
		count, err := c.importSnapshot(taken)
		if err != nil || count.Missing != 4 {
			t.Errorf("imported: %+v, %v", count, err)
		}
		c.within(2*time.Minute, "compared", func() bool { return len(c.world.Store.Keys("job/")) == 5 })
		c.withinRecovered(2 * time.Minute)
		// Of j-4, workers still list every task as done.
		c.checkRecords(jobs.Done, "j-1", "j-4")
		held := map[string]bool{}
		for _, job := range c.recoveryStatus().HeldJobs {
			held[job.Job] = job.Described
		}
		if want := map[string]bool{"j-2": true, "j-3": true, "j-5": false}; fmt.Sprint(held) != fmt.Sprint(want) {
			t.Errorf("held, and described: %v, want %v", held, want)
		}
		if n := c.tasksOnMachines("j-2", 2) + c.tasksOnMachines("j-5", 1); n != 3 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 3 tasks run on, %d began", n, c.world.TaskStarts()-starts)
		}
		// The operator knows better; finished work is not begun again by itself.
		for id, as := range map[string]recovery.Settlement{"j-3": recovery.SettleCancelled, "j-2": recovery.SettleRun} {
			if err := c.settleJob(id, as); err != nil {
				t.Errorf("%s as %s: %v", id, as, err)
			}
		}
		c.advance(time.Minute)
		c.checkRecords(jobs.Done, "j-1", "j-4")
		c.checkRecords(jobs.Cancelled, "j-3")
		if n := c.tasksOnMachines("j-2", 2); n != 2 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 2 tasks run on, %d began", n, c.world.TaskStarts()-starts)
		}
		if again, err := c.importSnapshot(taken); err != nil || again.Missing+again.Ended+again.Described != 0 {
			t.Errorf("imported once more: %+v, %v", again, err)
		}
	})
}

// With runUncertainAfterS, an uncertain job runs after that time, if it is described.
func TestUncertainJobRunsAfterATime(t *testing.T) {
	runCluster(t, func(set *settings.Settings) { set.Operator.RunUncertainAfterS = 90 }, func(c *cluster) {
		c.world.SetCapacity(0)
		c.submit("perch-0", batchJob("j-1", 1, 10))
		taken := c.takeSnapshot()
		c.advance(15 * time.Second)
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		for _, n := range c.names {
			c.start(n)
		}
		c.advance(10 * time.Second)
		if _, err := c.importSnapshot(taken); err != nil {
			t.Error(err)
		}
		c.within(2*time.Minute, "held", func() bool { return c.recoveryStatus().Held == 1 })
		c.world.SetCapacity(10)
		starts := c.world.TaskStarts()
		c.advance(60 * time.Second)
		if c.world.TaskStarts() != starts {
			t.Error("an uncertain job ran before its time")
		}
		c.within(4*time.Minute, "over", func() bool { return c.recoveryStatus().Held == 0 && c.world.TaskStarts() > starts })
		c.withinDone(time.Minute, "j-1")
	})
}

// A previous version beside this one neither answers questions nor hears of a recovery: its
// peers go on without it, and what they write it can read.
func TestRecoveryBesideAPeerThatCannotAnswer(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		for _, n := range c.names {
			c.processes[n].controller.peers.OnLostJobsRequest = nil
			c.processes[n].controller.peers.OnLossNotice = nil
		}
		c.checkUndisturbed(func() {
			c.world.Store.LoseKeys(false, emulator.WithPrefix("job/"))
			c.withinRecovered(3 * time.Minute)
		})
		c.checkRecords(jobs.Queued, "j-1", "j-2")
		c.checkRecords(jobs.Done, "j-3")
		c.checkRecords(jobs.Cancelled, "j-4")
	})
}

// Operators are answered by the leader alone, refused what cannot be, and told why.
func TestOperatorsRequests(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		ask := func(node, method, path, body string) (int, string) {
			rec := httptest.NewRecorder()
			c.processes[node].controller.operatorHandler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
			return rec.Code, strings.TrimSpace(rec.Body.String())
		}
		leader, other := c.leader(), c.names[0]
		if other == leader {
			other = c.names[1]
		}
		for _, tc := range []struct {
			node, method, path, body string
			status                   int
			says                     string
		}{
			{leader, "GET", "/recovery", "", http.StatusOK, `"phase":"whole"`},
			{other, "GET", "/recovery", "", http.StatusMisdirectedRequest, leader},
			{other, "POST", "/recovery/settle", `{"job":"j-1","as":"done"}`, http.StatusMisdirectedRequest, "does not lead"},
			{leader, "POST", "/recovery/settle", `{"job":"j-1","as":"done"}`, http.StatusNotFound, "not held"},
			{leader, "POST", "/recovery/settle", `{"job":"../term","as":"done"}`, http.StatusBadRequest, "form"},
			{leader, "POST", "/recovery/settle", `{"job":`, http.StatusBadRequest, ""},
			{leader, "POST", "/recovery/import", `{"cluster":"x"}`, http.StatusConflict, "deployment x"},
			{leader, "POST", "/recovery/import", strings.Repeat("x", 2<<20), http.StatusBadRequest, ""},
			{leader, "GET", "/metrics", "", http.StatusOK, `ospreyslip_recovery_phase{phase="whole"} 1`},
		} {
			if status, body := ask(tc.node, tc.method, tc.path, tc.body); status != tc.status || !strings.Contains(body, tc.says) {
				t.Errorf("%s %s %.40s at %s: %d %.200s", tc.method, tc.path, tc.body, tc.node, status, body)
			}
		}
	})
}

// The log is lost with its leader, and a machine is unreachable until after its worker's
// lease. What it had is begun anew only then; when it is back, nothing runs twice.
func TestWorkerSilentInRecovery(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		far := c.world.MachinesOf("j-2/0")[0]
		starts := c.world.TaskStarts()
		old := c.leader()
		end, hits := c.injectFault(isolate(far))
		c.crash(old)
		c.world.Store.LoseKeys(true, emulator.WithPrefix("book/"))
		c.start(old)
		c.advance(12 * time.Second)
		if n := c.world.TaskStarts() - starts; n > 0 || len(c.world.MachinesOf("j-2/0")) != 1 {
			t.Errorf("%d tasks began before the lease of %s was over", n, far)
		}
		c.advance(20 * time.Second)
		c.within(90*time.Second, "begun anew elsewhere", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 4) == 4 })
		if hits() == 0 || c.world.TaskStarts() == starts {
			t.Errorf("%d messages held, %d tasks began", hits(), c.world.TaskStarts()-starts)
		}
		end()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
			t.Errorf("%d of 6 tasks run when the machine is back", n)
		}
	})
}

// A job ends, its last completions are in segments that are lost, and its record with them:
// it is done by what the caches know, and its tasks are not begun again.
func TestFinishedJobWithItsSegmentLost(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 6, 10))
		c.withinDone(time.Minute, "j-1")
		c.advance(15 * time.Second)
		starts := c.world.TaskStarts()
		old := c.leader()
		c.crash(old)
		c.world.Store.LoseKeys(true, func(key string) bool { return strings.HasPrefix(key, "book/") || key == "job/j-1" })
		c.start(old)
		c.advance(time.Minute)
		c.withinRecovered(2 * time.Minute)
		c.checkRecords(jobs.Done, "j-1")
		c.checkStateEverywhere("j-1", jobs.Done)
		if n := c.world.TaskStarts() - starts; n > 0 {
			t.Errorf("%d tasks of a finished job began again", n)
		}
	})
}
