package controller

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson/wirejsontest"
)

const (
	longestRunTime = 120 * time.Second // of a task, on a machine that is not slow

	// maxStartsInQuiet is how often a task may start after the last fault: on the machine where it is placed, once
	// more for a machine that seems to be slow, and for each preemption in favor of a starved job.
	maxStartsInQuiet = 4
)

// protocolVariations varies, on a random day, what the protocol leaves open: unknown fields in all messages, estimates
// of run times, run times of the tasks of one job, machines that are slow for a while or unheard for less than a
// lease, descriptions near the limits of the store, limits that change, and very many tasks.
type protocolVariations struct {
	*faultScenario
	random     *rand.Rand         // a source of its own, so that the faults stay those of the seed
	actualRunS map[string]float64 // by batch job: the run time of its tasks, before they differ
	nextLimits *settings.UpcomingStoreLimits
}

func newProtocolVariations(c *cluster, seed uint64) *protocolVariations {
	v := &protocolVariations{
		faultScenario: newFaultScenario(c, seed),
		random:        rand.New(rand.NewPCG(seed, 1<<32)),
		actualRunS:    map[string]float64{},
	}
	c.world.RecordsAreKept = true
	c.world.RunTimeOf = v.runTimeS
	c.adjustSettings = func(s *settings.Settings) { s.Deployment.Store.Next = v.nextLimits }
	v.addJobs()
	v.varyEstimates()
	v.addUnknownFields()
	for range 3 {
		v.scheduleSlowMachine()
	}
	for range 5 {
		v.scheduleShortSilence()
	}
	v.scheduleLowerLimits()
	return v
}

// addJobs adds an array of very many tasks, and a job whose record will not fit into a value of the store.
func (v *protocolVariations) addJobs() {
	many := batchJob("j-91", 200+v.random.IntN(600), 3)
	many.CPUs, many.RAMGB = 0.002, 0.002
	large := batchJob("j-92", 3, 20)
	large.Image = strings.Repeat("i", 3000)
	for _, spec := range []*jobs.Spec{many, large} {
		v.finiteJobs = append(v.finiteJobs, spec)
		userRandom := rand.New(rand.NewPCG(v.seed, uint64(len(v.finiteJobs))<<33))
		v.faults.scheduleAt(time.Duration(v.random.IntN(40))*time.Second, func() {
			v.users.submitAndFollow(userRandom, spec, userBehavior{resubmits: true})
		})
	}
}

// varyEstimates replaces the estimates of batch jobs, which their tasks keep to so far: some are right, some are missing,
// others are wrong by any factor up to ten.
func (v *protocolVariations) varyEstimates() {
	for _, spec := range v.finiteJobs {
		if spec.Shape != jobs.Batch {
			continue
		}
		v.actualRunS[spec.ID] = spec.EstimatedRuntimeS
		switch v.random.IntN(4) {
		case 0:
			spec.EstimatedRuntimeS = 0
		case 1, 2:
			spec.EstimatedRuntimeS *= 0.1 + 9.9*v.random.Float64()
		}
	}
}

// runTimeS returns the run time of a task. A tenth of the tasks of a job take several times as long as the others.
func (v *protocolVariations) runTimeS(job *jobs.Spec, task int) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, v.seed, job.ID, task)
	sample := rand.New(rand.NewPCG(hash.Sum64(), 0))
	factor := 0.5 + sample.Float64()
	if sample.IntN(10) == 0 {
		factor *= 6
	}
	return min(v.actualRunS[job.ID]*factor, longestRunTime.Seconds())
}

// addUnknownFields adds unknown fields to all messages and, on half of the days, to the records that are read.
func (v *protocolVariations) addUnknownFields() {
	opaque := []string{storedValueField}
	if v.random.IntN(2) == 0 {
		opaque = nil
	}
	v.cluster.world.Network.SetRewriteBody(func(body []byte) []byte { return wirejsontest.AddUnknownFields(body, opaque...) })
}

// randomMachine draws a machine that is up, or returns "" if there is none.
func (v *protocolVariations) randomMachine() string {
	machines := v.cluster.world.Machines()
	if len(machines) == 0 {
		return ""
	}
	return machines[v.random.IntN(len(machines))]
}

// scheduleSlowMachine has a machine run its tasks several times as long for a while.
func (v *protocolVariations) scheduleSlowMachine() {
	at := time.Duration(20+v.random.IntN(120)) * time.Second
	duration := time.Duration(5+v.random.IntN(60)) * time.Second
	factor := float64(2 + v.random.IntN(5))
	v.faults.scheduleAt(at, func() {
		machine := v.randomMachine()
		if machine == "" {
			return
		}
		worker := v.cluster.world.Worker(machine)
		v.cluster.world.Tracef("== %s is slower by %v for %v", machine, factor, duration)
		worker.SetSlowness(factor)
		v.faults.scheduleAt(at+duration, func() { worker.SetSlowness(1) })
	})
}

// scheduleShortSilence keeps the heartbeats of a machine from all controllers for less than a lease.
func (v *protocolVariations) scheduleShortSilence() {
	at := time.Duration(10+v.random.IntN(140)) * time.Second
	duration := time.Duration(1500+v.random.IntN(8000)) * time.Millisecond
	effect := []emulator.Fault{emulator.RefuseConnection, emulator.DropRequest, emulator.DropResponse}[v.random.IntN(3)]
	v.faults.scheduleAt(at, func() {
		machine := v.randomMachine()
		v.cluster.world.Tracef("== %s is silent for %v", machine, duration)
		v.faults.scheduleAt(at+duration, muteMachine(v.cluster, machine, effect))
	})
}

// scheduleLowerLimits announces a lower limit of the store's values in the settings, replaces the controllers one after the
// other, and then lowers the limit.
func (v *protocolVariations) scheduleLowerLimits() {
	valueKB := 2.0
	at := time.Duration(50+v.random.IntN(60)) * time.Second
	v.faults.scheduleAt(at, func() { v.nextLimits = &settings.UpcomingStoreLimits{ValueKB: &valueKB} })
	for i, name := range v.cluster.names {
		replaceAt := at + time.Duration(8*i)*time.Second
		v.faults.scheduleAt(replaceAt, func() {
			if !v.cluster.incarnations[name].ended() {
				v.cluster.crash(name)
			}
		})
		v.faults.scheduleAt(replaceAt+300*time.Millisecond, func() {
			if v.cluster.incarnations[name].ended() {
				v.cluster.start(name)
			}
		})
	}
	v.faults.scheduleAt(at+40*time.Second, func() {
		v.cluster.world.Tracef("== values of the store are limited to %v KiB", valueKB)
		v.cluster.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: int(valueKB * 1024), TxnOps: 12, WritesPerSecond: 1000})
	})
}

// acceptedJobs returns the number of jobs that run to completion and were accepted.
func (v *protocolVariations) acceptedJobs() (accepted int) {
	for _, spec := range v.finiteJobs {
		if v.cluster.world.IsJobAccepted(spec.ID) {
			accepted++
		}
	}
	return accepted
}

// startsSince returns the task that has started most often since earlier, and how often.
func (v *protocolVariations) startsSince(earlier map[string]int) (task string, starts int) {
	for name, count := range v.cluster.world.StartsByTask() {
		if since := count - earlier[name]; since > starts {
			task, starts = name, since
		}
	}
	return task, starts
}

// TestRandomProtocolVariations overlaps the faults of TestRandomFaultCombinations with what the protocol allows
// besides, see protocolVariations. No rule may be violated, each answer of success has its record, each job ends
// within a time that follows from its tasks, and no task is stopped again and again.
func TestRandomProtocolVariations(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				day := newProtocolVariations(c, seed)
				day.faults.run(time.Now(), 230*time.Second)
				quietSince, startsBefore := time.Now(), c.world.StartsByTask()
				if accepted := day.acceptedJobs(); 2*accepted < len(day.finiteJobs) {
					t.Errorf("%d of %d jobs were accepted; under half of a class is served", accepted, len(day.finiteJobs))
				}
				c.advance(76 * time.Second)
				day.checkAnswers(t, quietSince)
				// A task may be stopped once as a slow one, and runs twice then.
				day.checkAllServed(maxLargestJobWait + 2*longestRunTime)
				if task, starts := day.startsSince(startsBefore); starts > maxStartsInQuiet {
					t.Errorf("%s was started %d times after the last fault", task, starts)
				}
				day.end(t)
			})
		})
	}
}
