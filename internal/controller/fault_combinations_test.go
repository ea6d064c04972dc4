package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
)

// defaultSeedCount is how many random scenarios a test runs: those of seeds 1 to defaultSeedCount.
const defaultSeedCount = 8

// seedsToRun returns the seeds of OSPREYSLIP_SEEDS=first:last, or by default 1 to defaultSeedCount.
func seedsToRun(t *testing.T) (seeds []uint64) {
	t.Helper()
	first, last := uint64(1), uint64(defaultSeedCount)
	if value := os.Getenv("OSPREYSLIP_SEEDS"); value != "" {
		if _, err := fmt.Sscanf(value, "%d:%d", &first, &last); err != nil {
			t.Fatalf("OSPREYSLIP_SEEDS: %v", err)
		}
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// faultScenario is a random scenario in which faults of all kinds overlap while users submit jobs.
type faultScenario struct {
	cluster    *cluster
	random     *rand.Rand
	seed       uint64
	faults     *faultSchedule // also schedules the users' submissions
	users      *simulatedUsers
	finiteJobs []*jobs.Spec // jobs that run to completion
	services   []*jobs.Spec // services that no user cancels
}

func newFaultScenario(c *cluster, seed uint64) *faultScenario {
	random := rand.New(rand.NewPCG(seed, 0))
	scenario := &faultScenario{
		cluster: c, random: random, seed: seed, users: newSimulatedUsers(c),
		faults: &faultSchedule{cluster: c, random: random, seed: seed},
	}
	c.world.Network.DelayOf = scenario.lateMessageDelay
	c.world.SetCapacity(8)
	for number := range 26 {
		scenario.scheduleJob(number)
	}
	scenario.scheduleFaults()
	return scenario
}

// lateMessageDelay returns the delay of a message that a fault makes late. Most delays are short.
func (s *faultScenario) lateMessageDelay(from, to, path string) time.Duration {
	late := s.faults.messageSample("late", from, to, path)
	if path == "/commit" {
		return time.Duration((0.3 + 12*late*late) * float64(time.Second))
	}
	return time.Duration((0.3 + 60*late*late*late) * float64(time.Second))
}

// scheduleJob draws a job and when its user submits it.
func (s *faultScenario) scheduleJob(number int) {
	id := fmt.Sprintf("j-%d", number+1)
	behavior := userBehavior{resubmits: s.random.IntN(4) == 0}
	var spec *jobs.Spec
	switch kind := s.random.IntN(8); {
	case number < 2:
		spec = serviceJob(id, 2)
		s.services = append(s.services, spec)
	case kind == 0:
		spec = serviceJob(id, 1+s.random.IntN(3))
		behavior.cancelAfter = time.Duration(20+s.random.IntN(120)) * time.Second
	case kind == 1:
		spec = gangJob(id, 2+s.random.IntN(3), float64(5+s.random.IntN(20)))
	case kind == 2:
		spec = batchJob(id, 2, 0)
		spec.EstimatedRuntimeS = float64(2 + s.random.IntN(70))
	default:
		spec = s.randomBatchJob(id)
	}
	if spec.RunsToCompletion() {
		switch s.random.IntN(4) {
		case 0:
			behavior.cancelAfter = time.Duration(1+s.random.IntN(90)) * time.Second
		case 1:
			behavior.cancelAtEnd = true
		}
		s.finiteJobs = append(s.finiteJobs, spec)
	}
	at := time.Duration(s.random.IntN(140)) * time.Second
	if number < 8 {
		at = 0
	}
	userRandom := rand.New(rand.NewPCG(s.seed, uint64(number+1)))
	s.faults.scheduleAt(at, func() { s.users.submitAndFollow(userRandom, spec, behavior) })
}

// randomBatchJob draws a batch job.
func (s *faultScenario) randomBatchJob(id string) *jobs.Spec {
	spec := batchJob(id, 1+s.random.IntN(12), float64(1+s.random.IntN(40)))
	spec.Priority = []string{jobs.Standard, jobs.Urgent, jobs.BestEffort}[s.random.IntN(3)]
	spec.OneZone, spec.Spread = s.random.IntN(5) == 0, s.random.IntN(6) == 0
	if s.random.IntN(5) == 0 {
		spec.Zone = "a"
	}
	if s.random.IntN(3) == 0 {
		spec.CheckpointIntervalS, spec.CheckpointSaveS = 5, 1
	}
	return spec
}

// scheduleFaults draws single faults, and pairs of faults that start within three seconds of each
// other.
func (s *faultScenario) scheduleFaults() {
	for range 6 + s.random.IntN(8) {
		s.faults.scheduleRandom(time.Duration(15+s.random.IntN(120)) * time.Second)
	}
	for range 4 {
		at := time.Duration(20+s.random.IntN(110)) * time.Second
		s.faults.scheduleRandom(at)
		s.faults.scheduleRandom(at + time.Duration(s.random.IntN(3000))*time.Millisecond)
	}
}

// checkAnswers checks that a request about each unfinished job has succeeded since the given time.
func (s *faultScenario) checkAnswers(t *testing.T, since time.Time) {
	t.Helper()
	for _, id := range s.cluster.world.UnansweredJobs(since) {
		if !s.users.toldFinished(id) {
			t.Errorf("no query about %s succeeded for 75 s", id)
		}
	}
}

// isUnfinished reports whether a job was accepted and its user was not told that it is finished.
func (s *faultScenario) isUnfinished(spec *jobs.Spec) bool {
	return s.cluster.world.IsJobAccepted(spec.ID) && !s.users.toldFinished(spec.ID)
}

// isServiceDown reports whether a service was accepted and not exactly all its tasks are on machines.
func (s *faultScenario) isServiceDown(spec *jobs.Spec) bool {
	return s.cluster.world.IsJobAccepted(spec.ID) && s.cluster.tasksOnMachines(spec.ID, spec.Tasks) != spec.Tasks
}

// checkAllServed checks that all accepted jobs that run to completion end within the given time, and that all accepted
// services run soon after that.
func (s *faultScenario) checkAllServed(within time.Duration) {
	s.cluster.t.Helper()
	s.cluster.waitFor(within, "all jobs finished", func() bool {
		return !slices.ContainsFunc(s.finiteJobs, s.isUnfinished)
	})
	s.cluster.waitFor(30*time.Second, "services running", func() bool {
		return !slices.ContainsFunc(s.services, s.isServiceDown)
	})
}

// end stops the users, and logs the trace of a day that has failed.
func (s *faultScenario) end(t *testing.T) {
	t.Helper()
	s.users.stop()
	if t.Failed() {
		t.Log(s.cluster.queueSummary())
		t.Log(s.cluster.world.Trace())
	}
}

// TestRandomFaultCombinations overlaps faults of all kinds for two and a half minutes, while users
// submit, query, resubmit and cancel jobs. No rule of the protocol may be violated. After the
// faults, a query about every job succeeds within 75 s and all jobs finish within minutes.
func TestRandomFaultCombinations(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				scenario := newFaultScenario(c, seed)
				scenario.faults.run(time.Now(), 230*time.Second)
				faultsEndedAt := time.Now()
				for _, name := range c.names {
					if c.incarnations[name].ended() {
						t.Fatalf("%s was not started again", name)
					}
				}
				c.advance(76 * time.Second)
				scenario.checkAnswers(t, faultsEndedAt)
				scenario.checkAllServed(4 * time.Minute)
				scenario.end(t)
			})
		})
	}
}
