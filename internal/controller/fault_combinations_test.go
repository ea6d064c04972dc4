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

// defaultSeeds is how many random scenarios a test runs: those of seeds 1 to defaultSeeds.
const defaultSeeds = 8

// seedsToPlay returns the seeds of OSPREYSLIP_SEEDS=first:last, or by default 1 to defaultSeeds.
func seedsToPlay(t *testing.T) (seeds []uint64) {
	t.Helper()
	first, last := uint64(1), uint64(defaultSeeds)
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

// faultyDay is a random scenario in which faults of all kinds overlap while users submit jobs.
type faultyDay struct {
	cluster  *cluster
	random   *rand.Rand
	seed     uint64
	faults   *faultSchedule // also schedules the users' submissions
	users    *simulatedUsers
	ending   []*jobs.Spec // jobs that run to completion
	services []*jobs.Spec // services that no user cancels
}

func newFaultyDay(c *cluster, seed uint64) *faultyDay {
	random := rand.New(rand.NewPCG(seed, 0))
	day := &faultyDay{
		cluster: c, random: random, seed: seed, users: newSimulatedUsers(c),
		faults: &faultSchedule{cluster: c, random: random, seed: seed},
	}
	c.world.Network.LatenessOf = day.lateness
	c.world.SetCapacity(8)
	for number := range 26 {
		day.scheduleJob(number)
	}
	day.scheduleFaults()
	return day
}

// lateness returns the delay of a message that a fault makes late. Most delays are short.
func (d *faultyDay) lateness(from, to, path string) time.Duration {
	late := d.faults.probability("late", from, to, path)
	if path == "/commit" {
		return time.Duration((0.3 + 12*late*late) * float64(time.Second))
	}
	return time.Duration((0.3 + 60*late*late*late) * float64(time.Second))
}

// scheduleJob draws a job and when its user submits it.
func (d *faultyDay) scheduleJob(number int) {
	id := fmt.Sprintf("j-%d", number+1)
	behavior := userBehavior{resubmits: d.random.IntN(4) == 0}
	var spec *jobs.Spec
	switch kind := d.random.IntN(8); {
	case number < 2:
		spec = serviceJob(id, 2)
		d.services = append(d.services, spec)
	case kind == 0:
		spec = serviceJob(id, 1+d.random.IntN(3))
		behavior.cancelAfter = time.Duration(20+d.random.IntN(120)) * time.Second
	case kind == 1:
		spec = gangJob(id, 2+d.random.IntN(3), float64(5+d.random.IntN(20)))
	case kind == 2:
		spec = batchJob(id, 2, 0)
		spec.EstimatedRuntimeS = float64(2 + d.random.IntN(70))
	default:
		spec = d.randomBatchJob(id)
	}
	if spec.RunsToCompletion() {
		switch d.random.IntN(4) {
		case 0:
			behavior.cancelAfter = time.Duration(1+d.random.IntN(90)) * time.Second
		case 1:
			behavior.cancelAtEnd = true
		}
		d.ending = append(d.ending, spec)
	}
	at := time.Duration(d.random.IntN(140)) * time.Second
	if number < 8 {
		at = 0
	}
	own := rand.New(rand.NewPCG(d.seed, uint64(number+1)))
	d.faults.once(at, func() { d.users.submitAndFollow(own, spec, behavior) })
}

// randomBatchJob draws a batch job.
func (d *faultyDay) randomBatchJob(id string) *jobs.Spec {
	spec := batchJob(id, 1+d.random.IntN(12), float64(1+d.random.IntN(40)))
	spec.Priority = []string{jobs.Standard, jobs.Urgent, jobs.BestEffort}[d.random.IntN(3)]
	spec.OneZone, spec.Spread = d.random.IntN(5) == 0, d.random.IntN(6) == 0
	if d.random.IntN(5) == 0 {
		spec.Zone = "a"
	}
	if d.random.IntN(3) == 0 {
		spec.CheckpointIntervalS, spec.CheckpointSaveS = 5, 1
	}
	return spec
}

// scheduleFaults draws single faults, and pairs of faults that begin within three seconds.
func (d *faultyDay) scheduleFaults() {
	for range 6 + d.random.IntN(8) {
		d.faults.scheduleRandom(time.Duration(15+d.random.IntN(120)) * time.Second)
	}
	for range 4 {
		at := time.Duration(20+d.random.IntN(110)) * time.Second
		d.faults.scheduleRandom(at)
		d.faults.scheduleRandom(at + time.Duration(d.random.IntN(3000))*time.Millisecond)
	}
}

// TestRandomFaultCombinations overlaps faults of all kinds for two and a half minutes, while users
// submit, query, resubmit and cancel jobs. No rule of the protocol may be violated. After the
// faults, a query about every job is answered within 75 s and all jobs finish within minutes.
func TestTroublesMeet(t *testing.T) {
	for _, seed := range seedsToPlay(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				day := newFaultyDay(c, seed)
				day.faults.run(time.Now(), 230*time.Second)
				over := time.Now()
				for _, name := range c.names {
					if c.processes[name].ended() {
						t.Fatalf("%s was not started again", name)
					}
				}
				c.advance(76 * time.Second)
				for _, id := range c.world.UnansweredJobs(over) {
					if !day.users.isOver(id) {
						t.Errorf("no query about %s was answered for 75 s", id)
					}
				}
				c.within(4*time.Minute, "all jobs finished", func() bool {
					return !slices.ContainsFunc(day.ending, func(spec *jobs.Spec) bool {
						return c.world.Accepted(spec.ID) && !day.users.isOver(spec.ID)
					})
				})
				c.within(30*time.Second, "services running", func() bool {
					return !slices.ContainsFunc(day.services, func(spec *jobs.Spec) bool {
						return c.world.Accepted(spec.ID) && c.tasksOnMachines(spec.ID, spec.Tasks) != spec.Tasks
					})
				})
				day.users.stop()
				if t.Failed() {
					t.Log(c.queueSummary())
					t.Log(c.world.Trace())
				}
			})
		})
	}
}
