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

// In these tests the store loses records while controllers and machines run. The emulator checks
// the rules of the protocol: no job is forgotten, no finished job runs again or changes its final
// state, and no task runs twice. The tests assert that the records are complete again and that no
// task was started or stopped unnecessarily.

// TestLostRecordsWrittenBack checks that the leader writes back all lost records from what it and
// the caches know, whether a single record, all job records, the assignment log or everything is
// lost, and whether or not the watch shows the loss.
func TestLostRecordsWrittenBack(t *testing.T) {
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
				// Only an audit detects a silent loss.
				runCluster(t, auditInterval(20), func(c *cluster) {
					c.runOneJobOfEachKind()
					c.checkUndisturbed(func() {
						c.world.Store.LoseKeys(silently, lost)
						c.advance(2 * time.Second)
						c.checkStateEverywhere("j-1", jobs.Running, jobs.Queued, "503")
						c.checkStateEverywhere("j-3", jobs.Done, "503")
						c.checkStateEverywhere("j-4", jobs.Cancelled, "503")
						c.advance(80 * time.Second)
						c.waitForRecovery(3 * time.Minute)
					})
					c.checkRecords(jobs.Queued, "j-1", "j-2")
					c.checkRecords(jobs.Done, "j-3")
					c.checkRecords(jobs.Cancelled, "j-4")
					c.submit("perch-1", batchJob("j-9", 1, 5))
					c.waitForDone(time.Minute, "j-9")
					c.checkStateEverywhere("j-77", "404")
					for range 3 { // the records survive changes of leader
						c.replaceLeader()
						c.advance(25 * time.Second)
					}
					if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
						t.Errorf("%d of 6 tasks are running under later leaders", n)
					}
				})
			})
		}
	}
}

// auditInterval returns an adjustment that sets the audit interval.
func auditInterval(seconds float64) func(*settings.Settings) {
	return func(set *settings.Settings) { set.Operator.AuditIntervalS = seconds }
}

// TestStoreRolledBack checks that a rollback of the store to before a job's completion, another's
// cancellation and a third's acceptance reverts none of the three.
func TestStoreRolledBack(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.submit("perch-1", batchJob("j-2", 4, 400))
		c.submit("perch-0", batchJob("j-3", 2, 15))
		c.submit("perch-0", batchJob("j-4", 2, 400))
		c.waitFor(60*time.Second, "running", func() bool {
			return c.tasksOnMachines("j-1", 2)+c.tasksOnMachines("j-2", 4)+c.tasksOnMachines("j-3", 2)+c.tasksOnMachines("j-4", 2) == 10
		})
		before := c.world.Store.Backup()
		c.waitForDone(60*time.Second, "j-3")
		c.cancelJob("perch-1", "j-4")
		c.submit("perch-2", batchJob("j-5", 2, 400))
		c.waitFor(60*time.Second, "j-5 running", func() bool { return c.tasksOnMachines("j-5", 2) == 2 })
		c.advance(10 * time.Second)
		c.checkUndisturbed(func() {
			c.world.Store.Restore(before)
			c.advance(5 * time.Second)
			c.checkStateEverywhere("j-3", jobs.Done, "503")
			c.checkStateEverywhere("j-4", jobs.Cancelled, "503")
			c.checkStateEverywhere("j-5", jobs.Running, jobs.Queued, "503")
			c.waitForRecovery(3 * time.Minute)
		})
		c.checkRecords(jobs.Done, "j-3")
		c.checkRecords(jobs.Cancelled, "j-4")
		c.checkRecords(jobs.Queued, "j-1", "j-2", "j-5")
		c.replaceLeader()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-5", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
			t.Errorf("%d of 6 tasks are running under the next leader", n)
		}
	})
}

// TestLogLostAndLeaderCrashes checks that the next leader adopts running tasks from heartbeats, and
// starts none twice, when segments of the assignment log or job records are lost and the leader
// crashes before it can write them back.
func TestLogLostAndLeaderCrashes(t *testing.T) {
	for name, lost := range map[string]func(string) bool{
		"a segment":   emulator.WithKey("book/0"),
		"most":        func(key string) bool { return strings.HasPrefix(key, "book/") && key != "book/1" },
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
					c.waitForNewLeader(15*time.Second, old)
					c.advance(5 * time.Second)
					c.start(old)
					c.waitForRecovery(5 * time.Minute)
				})
				if status := c.recoveryStatus(); len(status.Evidence) == 0 {
					t.Error("no loss was detected")
				}
				c.checkRecords(jobs.Done, "j-3")
				c.checkRecords(jobs.Cancelled, "j-4")
				c.advance(30 * time.Second)
				c.replaceLeader()
				c.advance(time.Minute)
				if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
					t.Errorf("%d of 6 tasks are running under the leader after the next", n)
				}
			})
		})
	}
}

// TestFullRestartWithAllRecordsLost checks the recovery from what workers alone know: all
// controllers crash, all records are lost, and the controllers start again. No task is stopped, and
// the jobs whose tasks workers list are held. A repeated submission describes such a job, and an
// operator settles it.
func TestFullRestartWithAllRecordsLost(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		starts := c.world.TaskStarts()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		c.advance(time.Second)
		for _, n := range c.names {
			c.start(n)
		}
		c.waitFor(time.Minute, "loss detected", func() bool { return len(c.recoveryStatus().Evidence) > 0 })
		c.waitFor(2*time.Minute, "all four jobs held", func() bool { return c.recoveryStatus().Held == 4 })
		c.waitForRecovery(2 * time.Minute)
		c.checkStateEverywhere("j-1", jobs.Queued, jobs.Running)
		c.checkStateEverywhere("j-2", jobs.Queued, jobs.Running)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 6 tasks are still running, %d were started", n, c.world.TaskStarts()-starts)
		}
		if err := c.settleJob("j-2", recovery.SettleRun); err == nil {
			t.Error("a job without a description was settled as run")
		}
		if err := c.settleJob("j-2", recovery.SettleDone); err == nil {
			t.Error("a running job was settled as done")
		}
		for id, spec := range map[string]*jobs.Spec{"j-1": serviceJob("j-1", 2), "j-2": batchJob("j-2", 4, 400)} {
			if status, _ := c.request("POST", "perch-1", "/v1/jobs", wireSpec(spec)); status != http.StatusOK {
				t.Errorf("%s submitted again: %d", id, status)
			}
		}
		c.waitFor(time.Minute, "two held jobs described", func() bool { return c.describedHeldJobs() == 2 })
		for _, id := range []string{"j-1", "j-2"} {
			if err := c.settleJob(id, recovery.SettleRun); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		c.checkUndisturbed(func() {
			// Workers list the tasks of j-3 and j-4, but no source knows how the two jobs ended.
			c.waitFor(time.Minute, "two jobs still held", func() bool { return c.recoveryStatus().Held == 2 })
		})
		c.replaceLeader()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 || c.world.TaskStarts() != starts {
			t.Errorf("under the next leader: %d of 6 tasks are still running, %d were started", n, c.world.TaskStarts()-starts)
		}
		c.cancelJob("perch-0", "j-2")
		c.waitFor(30*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-2", 4) == 0 })
	})
}

// TestCancelHeldJob checks that the tasks of a held job are stopped in time when its user cancels
// it, although no record says on which machines they are.
func TestCancelHeldJob(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		for _, n := range c.names {
			c.start(n)
		}
		c.waitFor(2*time.Minute, "jobs held", func() bool { return c.recoveryStatus().Held == 4 })
		c.cancelJob("perch-2", "j-2")
		c.waitFor(30*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-2", 4) == 0 })
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2); n != 2 {
			t.Errorf("%d of 2 tasks of the other job are running", n)
		}
	})
}

// TestGangWithLostLog checks that a gang whose assignment log is lost keeps running if heartbeats
// list all its tasks; if they list only some, all tasks stop and start again together.
func TestGangWithLostLog(t *testing.T) {
	for _, loseOneTask := range []bool{false, true} {
		t.Run(fmt.Sprint("partly ", loseOneTask), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.submit("perch-0", gangJob("j-1", 3, 300))
				c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 3) == 3 })
				c.advance(20 * time.Second)
				starts := c.world.TaskStarts()
				old := c.leader()
				c.crash(old)
				c.world.Store.LoseKeys(true, emulator.WithPrefix("book/"))
				if loseOneTask {
					c.world.KillMachine(c.world.MachinesOf("j-1/1")[0])
				}
				c.waitForNewLeader(15*time.Second, old)
				c.start(old)
				c.advance(2 * time.Minute)
				switch n, started := c.tasksOnMachines("j-1", 3), c.world.TaskStarts()-starts; {
				case n != 3:
					t.Errorf("one task lost %v: %d of 3 tasks are running", loseOneTask, n)
				case !loseOneTask && started > 0:
					t.Errorf("%d tasks of a complete gang were restarted", started)
				}
			})
		})
	}
}

// TestSnapshotOlderThanLoss checks that an old snapshot restores only what it proves, after all
// controllers crashed and all records were lost. It was taken before one job's completion,
// another's cancellation and a third's acceptance. Jobs that are unfinished in it are held, while
// their tasks that workers list keep running.
func TestSnapshotOlderThanLoss(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 2, 5))
		c.submit("perch-0", batchJob("j-2", 2, 400))
		c.submit("perch-0", batchJob("j-3", 2, 400))
		c.waitForDone(time.Minute, "j-1")
		c.submit("perch-0", batchJob("j-4", 2, 25))
		c.waitFor(time.Minute, "running", func() bool {
			return c.tasksOnMachines("j-2", 2)+c.tasksOnMachines("j-3", 2)+c.tasksOnMachines("j-4", 2) == 6
		})
		taken := c.takeSnapshot()
		c.waitForDone(time.Minute, "j-4") // this and the following changes are not in the snapshot
		c.cancelJob("perch-1", "j-3")
		c.submit("perch-1", batchJob("j-5", 1, 400))
		c.waitFor(time.Minute, "running", func() bool { return c.tasksOnMachines("j-5", 1) == 1 && c.tasksOnMachines("j-3", 2) == 0 })
		c.advance(15 * time.Second)
		starts := c.world.TaskStarts()
		c.crash(c.names...)
		c.world.Store.LoseKeys(true, emulator.WithPrefix(""))
		for _, n := range c.names {
			c.start(n)
		}
		c.waitFor(time.Minute, "loss detected", func() bool { return len(c.recoveryStatus().Evidence) > 0 })
		foreign := *taken
		foreign.Manifest.Cluster = "another"
		if _, err := c.importSnapshot(&foreign); !errors.Is(err, recovery.ErrRefused) {
			t.Errorf("import of a snapshot of another deployment: %v", err)
		}
		count, err := c.importSnapshot(taken)
		if err != nil || count.Missing != 4 {
			t.Errorf("imported: %+v, %v", count, err)
		}
		c.waitFor(2*time.Minute, "records written back", func() bool { return len(c.world.Store.Keys("job/")) == 5 })
		c.waitForRecovery(2 * time.Minute)
		// Workers still list every task of j-4 as done.
		c.checkRecords(jobs.Done, "j-1", "j-4")
		held := map[string]bool{}
		for _, job := range c.recoveryStatus().HeldJobs {
			held[job.Job] = job.Described
		}
		if want := map[string]bool{"j-2": true, "j-3": true, "j-5": false}; fmt.Sprint(held) != fmt.Sprint(want) {
			t.Errorf("held jobs, and whether they are described: %v, want %v", held, want)
		}
		if n := c.tasksOnMachines("j-2", 2) + c.tasksOnMachines("j-5", 1); n != 3 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 3 tasks are still running, %d were started", n, c.world.TaskStarts()-starts)
		}
		// The operator knows that j-3 was cancelled and j-2 was not. Finished jobs do not start
		// again.
		for id, as := range map[string]recovery.Settlement{"j-3": recovery.SettleCancelled, "j-2": recovery.SettleRun} {
			if err := c.settleJob(id, as); err != nil {
				t.Errorf("%s as %s: %v", id, as, err)
			}
		}
		c.advance(time.Minute)
		c.checkRecords(jobs.Done, "j-1", "j-4")
		c.checkRecords(jobs.Cancelled, "j-3")
		if n := c.tasksOnMachines("j-2", 2); n != 2 || c.world.TaskStarts() != starts {
			t.Errorf("%d of 2 tasks are still running, %d were started", n, c.world.TaskStarts()-starts)
		}
		if again, err := c.importSnapshot(taken); err != nil || again.Missing+again.Ended+again.Described != 0 {
			t.Errorf("repeated import: %+v, %v", again, err)
		}
	})
}

// TestUncertainJobRunsAfterTimeout checks that an uncertain job whose description is known runs
// after, and not before, the time in the operator setting runUncertainAfterS.
func TestUncertainJobRunsAfterTimeout(t *testing.T) {
	runCluster(t, func(set *settings.Settings) { set.Operator.RunHeldJobsAfterS = 90 }, func(c *cluster) {
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
		c.waitFor(2*time.Minute, "jobs held", func() bool { return c.recoveryStatus().Held == 1 })
		c.world.SetCapacity(10)
		starts := c.world.TaskStarts()
		c.advance(60 * time.Second)
		if c.world.TaskStarts() != starts {
			t.Error("an uncertain job ran before runUncertainAfterS had elapsed")
		}
		c.waitFor(4*time.Minute, "held job released and started", func() bool { return c.recoveryStatus().Held == 0 && c.world.TaskStarts() > starts })
		c.waitForDone(time.Minute, "j-1")
	})
}

// TestRecoveryWithPeerThatCannotAnswer checks that a recovery completes when peers of an earlier
// version neither respond to requests for lost jobs nor handle loss notices. Such a version can
// read the records that are written back.
func TestRecoveryWithPeerThatCannotAnswer(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		for _, n := range c.names {
			c.incarnations[n].controller.peers.OnLostJobsRequest = nil
			c.incarnations[n].controller.peers.OnLossNotice = nil
		}
		c.checkUndisturbed(func() {
			c.world.Store.LoseKeys(false, emulator.WithPrefix("job/"))
			c.waitForRecovery(3 * time.Minute)
		})
		c.checkRecords(jobs.Queued, "j-1", "j-2")
		c.checkRecords(jobs.Done, "j-3")
		c.checkRecords(jobs.Cancelled, "j-4")
	})
}

// TestOperatorRequests checks that only the leader serves operators' requests, and that invalid
// requests are refused with the reason.
func TestOperatorRequests(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		request := func(controllerName, method, path, body string) (int, string) {
			rec := httptest.NewRecorder()
			c.incarnations[controllerName].controller.operatorHandler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
			return rec.Code, strings.TrimSpace(rec.Body.String())
		}
		leader, other := c.leader(), c.names[0]
		if other == leader {
			other = c.names[1]
		}
		for _, tc := range []struct {
			controllerName, method, path, body string
			status                             int
			wantInBody                         string
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
			if status, body := request(tc.controllerName, tc.method, tc.path, tc.body); status != tc.status || !strings.Contains(body, tc.wantInBody) {
				t.Errorf("%s %s %.40s at %s: %d %.200s", tc.method, tc.path, tc.body, tc.controllerName, status, body)
			}
		}
	})
}

// TestWorkerUnreachableDuringRecovery checks that the tasks of a machine that is unreachable when
// the assignment log is lost and the leader crashes are started elsewhere only after the worker's
// lease has expired, and that none runs twice when the machine is back.
func TestWorkerUnreachableDuringRecovery(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runOneJobOfEachKind()
		unreachable := c.world.MachinesOf("j-2/0")[0]
		starts := c.world.TaskStarts()
		old := c.leader()
		end, hits := c.injectFault(isolate(unreachable))
		c.crash(old)
		c.world.Store.LoseKeys(true, emulator.WithPrefix("book/"))
		c.start(old)
		c.advance(12 * time.Second)
		if n := c.world.TaskStarts() - starts; n > 0 || len(c.world.MachinesOf("j-2/0")) != 1 {
			t.Errorf("%d tasks were started before the lease of %s had expired", n, unreachable)
		}
		c.advance(20 * time.Second)
		c.waitFor(90*time.Second, "tasks running elsewhere", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 4) == 4 })
		if hits() == 0 || c.world.TaskStarts() == starts {
			t.Errorf("%d messages dropped, %d tasks started", hits(), c.world.TaskStarts()-starts)
		}
		end()
		c.advance(time.Minute)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 4); n != 6 {
			t.Errorf("%d of 6 tasks are running after the machine is back", n)
		}
	})
}

// TestFinishedJobWithSegmentLost checks that the tasks of a done job are not started again when its
// record and the segments of the assignment log with its last completions are lost: the caches
// prove that it is done.
func TestFinishedJobWithSegmentLost(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-1", 6, 10))
		c.waitForDone(time.Minute, "j-1")
		c.advance(15 * time.Second)
		starts := c.world.TaskStarts()
		old := c.leader()
		c.crash(old)
		c.world.Store.LoseKeys(true, func(key string) bool { return strings.HasPrefix(key, "book/") || key == "job/j-1" })
		c.start(old)
		c.advance(time.Minute)
		c.waitForRecovery(2 * time.Minute)
		c.checkRecords(jobs.Done, "j-1")
		c.checkStateEverywhere("j-1", jobs.Done)
		if n := c.world.TaskStarts() - starts; n > 0 {
			t.Errorf("%d tasks of a finished job were started again", n)
		}
	})
}
