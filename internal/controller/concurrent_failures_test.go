package controller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// These tests combine the concurrent failures that users name. The emulator checks the rules of the
// protocol in each; the tests assert that the failure took place as intended and that work goes on
// afterwards. Other combinations are tested in cancellation_outage_test.go, TestZonePartition,
// TestControllerReachesOnlyWorkers, TestMachineCannotReceive, TestEveryRequestDeliveredTwice,
// TestHangingMachine, TestCommandArrivesLate, TestControllersRestartImmediately and
// TestCancelRacesCompletion.

// TestTeamQuotaAcrossFailover guards against exceeding a quota in a failover. A team is at its
// limit when the leader crashes, one of its machines is unreachable, and its job is cancelled.
// Tasks that may still run count against the quota until they are known to have ended.
func TestTeamQuotaAcrossFailover(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		firstJob := batchJob("j-1", 16, 300)
		firstJob.Team = "red" // its quota is 16 CPUs
		c.submit("perch-0", firstJob)
		c.waitFor(60*time.Second, "team at its limit", func() bool { return c.tasksOnMachines("j-1", 16) == 16 })
		nextJob := batchJob("j-2", 16, 20)
		nextJob.Team = "red"
		c.submit("perch-1", nextJob)
		unreachable := c.world.MachinesOf("j-1/0")[0]
		maybeRunning := 0
		for i := range 16 {
			if c.world.MachinesOf(fmt.Sprintf("j-1/%d", i))[0] == unreachable {
				maybeRunning++
			}
		}
		end, hits := c.injectFault(isolate(unreachable))
		c.crash(c.leader())
		c.cancelJob(c.firstRunningController(), "j-1")
		c.waitFor(15*time.Second, "tasks on reachable machines stopped", func() bool { return c.tasksOnMachines("j-1", 16) == maybeRunning })
		c.waitFor(10*time.Second, "the next job has the freed quota", func() bool { return c.tasksOnMachines("j-2", 16) == 16-maybeRunning })
		c.advance(3 * time.Second)
		if n := c.tasksOnMachines("j-2", 16); n != 16-maybeRunning || hits() == 0 {
			t.Errorf("%d tasks run beside %d that may still run, %d messages dropped", n, maybeRunning, hits())
		}
		c.advance(30 * time.Second)
		end()
		c.waitForDone(2*time.Minute, "j-2")
	})
}

// TestTaskCompletionsUnderDifferentLeaders checks that a job is done although its tasks end at
// different times, under different leaders or while no controller leads.
func TestTaskCompletionsUnderDifferentLeaders(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		spec := batchJob("j-1", 2, 20)
		c.submit("perch-0", spec)
		c.waitFor(40*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		// One task is restarted, and so ends much later than the other.
		c.world.KillMachine(c.world.MachinesOf("j-1/1")[0])
		c.submit("perch-1", batchJob("j-2", 2, 20))
		c.waitFor(60*time.Second, "task restarted", func() bool { return c.tasksOnMachines("j-1", 2) > 0 || c.jobState("j-1") == jobs.Done })
		for range 4 {
			c.advance(6 * time.Second)
			c.replaceLeader()
		}
		c.waitForDone(2*time.Minute, "j-1")
		c.waitForDone(2*time.Minute, "j-2")
		c.advance(time.Minute)
	})
}

// TestTenLeadersInTwoMinutes checks that work goes on through ten changes of leader in two minutes,
// some of them in an outage of the store, and that no two leaders act at a time.
func TestTenLeadersInTwoMinutes(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		for i := range 6 {
			c.submit("perch-0", batchJob(fmt.Sprintf("j-%d", i+2), 6, 15))
		}
		tokens := map[string]bool{string(c.world.Store.Value("term/token")): true}
		for i := range 10 {
			old := c.leader()
			switch i % 5 {
			case 2: // in an outage of the store
				c.world.Store.SetOutage(true)
				c.advance(2 * time.Second)
				c.crash(old)
				c.advance(500 * time.Millisecond)
				c.start(old)
				c.advance(4 * time.Second)
				c.world.Store.SetOutage(false)
			case 3: // the store refuses the leader until another is elected
				c.world.Store.SetRefused(old, true)
				c.waitForNewLeader(15*time.Second, old)
				c.world.Store.SetRefused(old, false)
			case 4: // all crash, and one is back within a second
				c.crash(c.names...)
				c.advance(200 * time.Millisecond)
				c.start(c.names[i%3])
				c.advance(6 * time.Second)
				for _, n := range c.names {
					if c.incarnations[n].ended() {
						c.start(n)
					}
				}
			default:
				c.replaceLeader()
			}
			c.waitFor(20*time.Second, "a new term", func() bool { return c.leader() != "" && !tokens[string(c.world.Store.Value("term/token"))] })
			tokens[string(c.world.Store.Value("term/token"))] = true
			c.advance(4 * time.Second)
		}
		if len(tokens) <= 10 {
			t.Errorf("%d terms, want more than 10", len(tokens))
		}
		for i := range 6 {
			c.waitForDone(90*time.Second, fmt.Sprintf("j-%d", i+2))
		}
		c.waitFor(20*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	})
}

// TestAllControllersDownBeyondWorkerLease checks that all tasks end when no controller runs for
// longer than a worker's lease, and that those of unfinished jobs are started again afterwards.
func TestAllControllersDownBeyondWorkerLease(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", batchJob("j-3", 4, 200))
		c.waitFor(40*time.Second, "running", func() bool { return c.tasksOnMachines("j-3", 4) == 4 })
		c.runServiceAndBatch()
		c.cancelJob("perch-1", "j-3")
		c.crash(c.names...)
		c.advance(23 * time.Second)
		if n := c.tasksOnMachines("j-1", 2) + c.tasksOnMachines("j-2", 6) + c.tasksOnMachines("j-3", 4); n != 0 {
			t.Errorf("%d tasks outlived their leases", n)
		}
		for _, n := range c.names {
			c.start(n)
		}
		c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
		c.waitForDone(2*time.Minute, "j-2")
	})
}

// TestLeaderCrashWithUnreachableMachines guards against running a task twice, or not at all, after
// a failover. The leader crashes while a machine with long tasks is unreachable, receives nothing,
// or can send nothing. Its tasks are started elsewhere only after they have ended there.
func TestLeaderCrashWithUnreachableMachines(t *testing.T) {
	for _, tc := range []struct {
		name string
		rule func(machine string) emulator.FaultRule
	}{
		{"unreachable", func(machine string) emulator.FaultRule { return isolate(machine) }},
		{"cannot receive", func(machine string) emulator.FaultRule {
			return func(from, to, _ string) emulator.Fault {
				switch machine {
				case from:
					return emulator.DropResponse
				case to:
					return emulator.DropRequest
				}
				return emulator.Deliver
			}
		}},
		{"cannot send", func(machine string) emulator.FaultRule {
			return func(from, _, _ string) emulator.Fault {
				if from == machine {
					return emulator.DropRequest
				}
				return emulator.Deliver
			}
		}},
	} {
		for _, cloudUp := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cloud up %v", tc.name, cloudUp), func(t *testing.T) {
				runCluster(t, nil, func(c *cluster) {
					c.submit("perch-0", batchJob("j-3", 4, 150))
					c.runServiceAndBatch()
					machine := c.world.MachinesOf("j-1/0")[0]
					c.world.SetCloudOutage(!cloudUp)
					end, hits := c.injectFault(tc.rule(machine))
					c.replaceLeader()
					if !cloudUp { // there is no capacity elsewhere
						c.waitFor(60*time.Second, "task ended on the machine", func() bool { return !slices.Contains(c.world.MachinesOf("j-1/0"), machine) })
						c.world.SetCloudOutage(false)
					}
					c.waitFor(90*time.Second, "service running on other machines", func() bool {
						return c.tasksOnMachines("j-1", 2) == 2 && !slices.Contains(c.world.MachinesOf("j-1/0"), machine)
					})
					if hits() == 0 {
						t.Error("no message was affected")
					}
					end()
					c.waitForDone(4*time.Minute, "j-2")
					c.waitForDone(4*time.Minute, "j-3")
				})
			})
		}
	}
}

// TestMachineCannotSend checks what happens to a machine that receives requests but whose own
// requests are lost. Being probed renews no lease: its tasks end with the lease and are started
// once elsewhere, and the hold on verdicts that its sequence numbers cause is bounded.
func TestMachineCannotSend(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.submit("perch-0", serviceJob("j-1", 2))
		c.submit("perch-0", batchJob("j-2", 8, 100))
		c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 8) == 8 })
		machine := c.world.MachinesOf("j-1/0")[0]
		var probes atomic.Int64
		end, hits := c.injectFault(func(from, to, path string) emulator.Fault {
			if to == machine && path == "/inspect" {
				probes.Add(1)
			}
			if from == machine {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		c.waitFor(35*time.Second, "service running elsewhere", func() bool {
			return c.tasksOnMachines("j-1", 2) == 2 && !slices.Contains(c.world.MachinesOf("j-1/0"), machine)
		})
		if hits() == 0 || probes.Load() == 0 {
			t.Errorf("%d heartbeats were dropped, %d probes were sent", hits(), probes.Load())
		}
		// The hold has expired: the failure of another machine is detected in the usual time.
		failed := c.world.MachinesOf("j-1/0")[0]
		c.world.KillMachine(failed)
		c.waitFor(25*time.Second, "service running again", func() bool {
			return c.tasksOnMachines("j-1", 2) == 2 && !slices.Contains(c.world.MachinesOf("j-1/0"), failed)
		})
		end()
		c.waitForDone(4*time.Minute, "j-2")
	})
}

// TestDelayedHeartbeatsReachNextLeader guards against trusting stale heartbeats. Copies of
// heartbeats, also of an earlier agent epoch, arrive after a new leader has acted, and must prove
// nothing.
func TestDelayedHeartbeatsReachNextLeader(t *testing.T) {
	for _, late := range []time.Duration{4 * time.Second, 15 * time.Second, 45 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.runServiceAndBatch()
				c.world.Network.Delay = late
				end, hits := c.injectFault(func(from, _, path string) emulator.Fault {
					if path == "/v1/report" && isMachine(from) {
						return emulator.DeliverTwice
					}
					return emulator.Deliver
				})
				c.advance(3 * time.Second)
				// The copies are delivered to the incarnation that has the address by then.
				c.crash(c.names...)
				c.advance(300 * time.Millisecond)
				for _, n := range c.names {
					c.start(n)
				}
				c.advance(2 * time.Second)
				c.submit(c.names[0], batchJob("j-3", 6, 8))
				c.advance(late)
				c.replaceLeader()
				end()
				if hits() == 0 {
					t.Error("no heartbeat was copied")
				}
				c.advance(late)
				c.waitForDone(2*time.Minute, "j-2")
				c.waitForDone(2*time.Minute, "j-3")
				c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
			})
		})
	}
}

// TestTransactionsAppliedLate checks that jobs still finish when two of three transactions get no
// response and are applied 2 to 12 s later, after newer ones of the same controller. These write
// acceptances, cancellations, completions, segments of the assignment log, and the term.
func TestTransactionsAppliedLate(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		var n, tries atomic.Int64
		c.world.Network.DelayOf = func(_, _, path string) time.Duration {
			return 2*time.Second + time.Duration(n.Add(1)*2731%10000)*time.Millisecond
		}
		end, hits := c.injectFault(func(_, _, path string) emulator.Fault {
			if path != "/commit" {
				return emulator.Deliver
			}
			if tries.Add(1)%3 != 0 {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		before := c.world.Store.RequestCount("/commit")
		users := newSimulatedUsers(c)
		var all []*jobs.Spec
		for i := range 10 {
			spec := batchJob(fmt.Sprintf("j-%d", i+1), 3, float64(4+2*i))
			all = append(all, spec)
			behavior := userBehavior{resubmits: i%3 == 0, cancelAtEnd: i%4 == 1}
			if i%4 == 2 {
				behavior.cancelAfter = 25 * time.Second
			}
			users.submitAndFollow(c.newRand(), spec, behavior)
			c.advance(2 * time.Second)
			if i%5 == 4 {
				c.replaceLeader()
			}
		}
		c.advance(40 * time.Second)
		end()
		if hits() < 20 || c.world.Store.RequestCount("/commit")-before < hits() {
			t.Errorf("%d transactions were delayed, %d reached the store", hits(), c.world.Store.RequestCount("/commit")-before)
		}
		c.waitFor(3*time.Minute, "all jobs finished", func() bool {
			return !slices.ContainsFunc(all, func(spec *jobs.Spec) bool { return c.world.IsJobAccepted(spec.ID) && !users.toldFinished(spec.ID) })
		})
		users.stop()
	})
}

// TestCancelThroughNewLeader checks that cancellations through another controller take effect while
// the former leader, cut off from the store and its peers, still reaches its workers and users.
func TestCancelThroughNewLeader(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.submit("perch-0", batchJob("j-3", 6, 200))
		c.waitFor(30*time.Second, "running", func() bool { return c.tasksOnMachines("j-3", 6) == 6 })
		isolated := c.leader()
		end, hits := c.injectFault(func(from, to, _ string) emulator.Fault {
			if (from == isolated || to == isolated) && !isMachine(from) && !isMachine(to) && from != "user" {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
		other := c.names[(slices.Index(c.names, isolated)+1)%3]
		c.cancelJob(other, "j-3") // while the isolated controller still leads
		if status, _ := c.request("GET", isolated, "/v1/jobs/j-3", nil); status == http.StatusOK {
			t.Errorf("an isolated controller serves a query: %d", status)
		}
		c.waitForNewLeader(15*time.Second, isolated)
		c.cancelJob(other, "j-2")
		c.waitFor(30*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-3", 6)+c.tasksOnMachines("j-2", 6) == 0 })
		c.advance(30 * time.Second)
		if hits() == 0 {
			t.Error("no message was dropped")
		}
		end()
		c.advance(10 * time.Second)
		if n := c.tasksOnMachines("j-1", 2); n != 2 {
			t.Errorf("%d of 2 replicas are running", n)
		}
	})
}

// TestOverCapacityWithSlowNetwork checks that all jobs, of any priority, are done within four
// minutes each when there is more work than capacity and every message to and from machines is
// slow.
func TestOverCapacityWithSlowNetwork(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(3)
		c.world.Network.Delay = 700 * time.Millisecond
		end, hits := c.injectFault(func(from, to, path string) emulator.Fault {
			if isMachine(from) || isMachine(to) {
				return emulator.DeliverSlowly
			}
			return emulator.Deliver
		})
		var all []*jobs.Spec
		for i := range 14 {
			spec := batchJob(fmt.Sprintf("j-%d", i+1), 6, 12)
			spec.Priority = []string{jobs.BestEffort, jobs.Standard, jobs.Urgent}[i%3]
			if spec.CheckpointIntervalS = 0; i%2 == 0 {
				spec.CheckpointIntervalS, spec.CheckpointSaveS = 4, 1
			}
			c.submit(c.names[i%3], spec)
			all = append(all, spec)
			c.advance(3 * time.Second)
		}
		for _, spec := range all {
			c.waitForDone(4*time.Minute, spec.ID)
		}
		end()
		if hits() < 100 {
			t.Errorf("%d messages were slow", hits())
		}
	})
}

// TestZoneBoundJobsLoseMachines checks that batch jobs and services bound to one zone recover from
// the loss of machines there. The emulator checks that their tasks stay in one zone.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		array := batchJob("j-1", 8, 100)
		array.OneZone, array.Spread = true, false
		c.submit("perch-0", array)
		fixed := batchJob("j-2", 6, 100)
		fixed.Zone = "b"
		c.submit("perch-0", fixed)
		web := serviceJob("j-3", 4)
		web.OneZone, web.Spread, web.CPUs = true, false, 1
		c.submit("perch-0", web)
		c.waitFor(60*time.Second, "running", func() bool {
			return c.tasksOnMachines("j-1", 8) == 8 && c.tasksOnMachines("j-2", 6) == 6 && c.tasksOnMachines("j-3", 4) == 4
		})
		for _, task := range []string{"j-1/0", "j-2/0", "j-3/0"} {
			if on := c.world.MachinesOf(task); len(on) > 0 {
				c.world.KillMachine(on[0])
			}
		}
		c.advance(3 * time.Second)
		c.replaceLeader()
		c.waitForDone(3*time.Minute, "j-1")
		c.waitForDone(3*time.Minute, "j-2")
		c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-3", 4) == 4 })
	})
}

// TestRequestsRaceCompletion guards against a job that is reported as both done and cancelled.
// Without any fault, cancellations, queries and repeated submissions at every controller race the
// end of the job's last task.
func TestRequestsRaceCompletion(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		users := newSimulatedUsers(c)
		var all []*jobs.Spec
		for i := range 40 {
			spec := batchJob(fmt.Sprintf("j-%d", i+1), 1+i%3, float64(1+i%5))
			all = append(all, spec)
			users.submitAndFollow(c.newRand(), spec, userBehavior{cancelAtEnd: true, resubmits: i%2 == 0})
		}
		c.waitFor(3*time.Minute, "all jobs finished", func() bool {
			return !slices.ContainsFunc(all, func(spec *jobs.Spec) bool { return !users.toldFinished(spec.ID) })
		})
		c.advance(15 * time.Second)
		users.stop()
		ends := map[string]int{}
		for _, spec := range all {
			ends[users.finalStates[spec.ID]]++
			for _, n := range c.names { // all controllers must report the same final state
				if status, view := c.request("GET", n, "/v1/jobs/"+spec.ID, nil); status != http.StatusOK || view["stance"] != users.finalStates[spec.ID] {
					t.Errorf("%s at %s: %d %v, was %s", spec.ID, n, status, view["stance"], users.finalStates[spec.ID])
				}
			}
		}
		if ends[jobs.Cancelled] == 0 {
			t.Errorf("no cancellation won the race: %v", ends)
		}
	})
}

// checkResubmission submits a job again and checks that the response has its current state.
func (c *cluster) checkResubmission(controllerName string, spec *jobs.Spec, state string) {
	c.t.Helper()
	if status, view := c.request("POST", controllerName, "/v1/jobs", wireSpec(spec)); status != http.StatusOK || view["stance"] != state {
		c.t.Errorf("%s submitted again at %s: %d %v", spec.ID, controllerName, status, view)
	}
}

// TestRepeatedAndInvalidRequests checks the responses to repeated submissions of running, done and
// cancelled jobs, cancellations of done and unknown jobs, and submissions of jobs that can never
// run, the last also in an outage of the store.
func TestRepeatedAndInvalidRequests(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		done, cancelled, running := batchJob("j-1", 1, 1), batchJob("j-2", 1, 300), serviceJob("j-3", 2)
		for _, spec := range []*jobs.Spec{done, cancelled, running} {
			c.submit("perch-0", spec)
		}
		c.waitForDone(60*time.Second, "j-1")
		c.cancelJob("perch-1", "j-2")
		c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-3", 2) == 2 })
		c.advance(4 * time.Second)
		for i, n := range c.names {
			c.checkResubmission(n, done, jobs.Done)
			c.checkResubmission(n, cancelled, jobs.Cancelled)
			c.checkResubmission(n, running, jobs.Running)
			if status, view := c.request("POST", n, "/v1/jobs/j-1/withdraw", nil); status != http.StatusOK || view["stance"] != jobs.Done {
				t.Errorf("cancelling a done job: %d %v", status, view)
			}
			if status, _ := c.request("POST", n, fmt.Sprintf("/v1/jobs/j-90%d/withdraw", i), nil); status != http.StatusNotFound {
				t.Errorf("cancelling an unknown job: %d", status)
			}
		}
		missingField := wireSpec(batchJob("j-4", 1, 1))
		delete(missingField, "ramGb")
		changedSpec := func(change func(*jobs.Spec)) map[string]any {
			spec := serviceJob("j-5", 2)
			change(spec)
			return wireSpec(spec)
		}
		invalid := map[string]map[string]any{
			"too large":               changedSpec(func(spec *jobs.Spec) { spec.RAMGB = 33 }),
			"no such team":            changedSpec(func(spec *jobs.Spec) { spec.Team = "green" }),
			"no such zone":            changedSpec(func(spec *jobs.Spec) { spec.Zone = "z" }),
			"spread within one zone":  changedSpec(func(spec *jobs.Spec) { spec.Zone = "a" }),
			"spread and in one zone":  changedSpec(func(spec *jobs.Spec) { spec.OneZone = true }),
			"gang spread in one zone": changedSpec(func(spec *jobs.Spec) { spec.Shape, spec.OneZone = jobs.Gang, true }),
		}
		for name, body := range invalid {
			if status, view := c.request("POST", "perch-1", "/v1/jobs", body); status != http.StatusUnprocessableEntity {
				t.Errorf("%s: %d %v", name, status, view)
			}
		}
		// A batch job can run with half of its tasks at a time, and a single replica needs no
		// spreading.
		batch := batchJob("j-6", 4, 2)
		batch.Zone, batch.Spread = "a", true
		c.submit("perch-2", batch)
		singleReplica := serviceJob("j-7", 1)
		singleReplica.Zone, singleReplica.OneZone = "a", true
		c.submit("perch-2", singleReplica)
		c.waitForDone(60*time.Second, "j-6")

		c.world.Store.SetOutage(true)
		if status, _ := c.request("POST", "perch-1", "/v1/jobs", missingField); status != http.StatusBadRequest {
			t.Errorf("missing field, in an outage: %d", status)
		}
		for name, body := range invalid {
			// Without the store, it is unknown whether the job was accepted under earlier settings.
			if status, _ := c.request("POST", "perch-1", "/v1/jobs", body); status != http.StatusServiceUnavailable {
				t.Errorf("%s, in an outage: %d", name, status)
			}
		}
		c.world.Store.SetOutage(false)
		c.advance(2 * time.Second)
		// A job that an earlier version accepted stays accepted.
		acceptedEarlier := changedSpec(func(spec *jobs.Spec) { spec.ID, spec.Zone = "j-8", "a" })
		c.world.RecordSubmission("j-8")
		c.world.Store.Put("job/j-8", []byte(`{"stance":"queued","tasks":2}`))
		if status, view := c.request("POST", "perch-1", "/v1/jobs", acceptedEarlier); status != http.StatusOK || view["stance"] != jobs.Queued {
			t.Errorf("job accepted by an earlier version: %d %v", status, view)
		}
		if keys := c.world.Store.Keys("job/"); slices.ContainsFunc(keys, func(key string) bool { return strings.HasSuffix(key, "j-4") || strings.HasSuffix(key, "j-5") }) {
			t.Errorf("invalid jobs were accepted: %v", keys)
		}
	})
}
