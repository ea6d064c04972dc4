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

// defaultSeeds is how many days the test below draws. OSPREYSLIP_SEEDS=from:to plays others.
const defaultSeeds = 8

func seedsToPlay(t *testing.T) (list []uint64) {
	from, to := uint64(1), uint64(defaultSeeds)
	if v := os.Getenv("OSPREYSLIP_SEEDS"); v != "" {
		if _, err := fmt.Sscanf(v, "%d:%d", &from, &to); err != nil {
			t.Fatalf("OSPREYSLIP_SEEDS: %v", err)
		}
	}
	for s := from; s <= to; s++ {
		list = append(list, s)
	}
	return list
}

// Troubles of all kinds meet for two minutes and a half, while users submit, ask,
// repeat and cancel. No rule may break; when the troubles are over every question is
// answered within 75 s, and all work is done soon.
func TestTroublesMeet(t *testing.T) {
	for _, seed := range seedsToPlay(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				r := rand.New(rand.NewPCG(seed, 0))
				tr := &faultSchedule{cluster: c, random: r, seed: seed}
				c.world.Net.LateBy = func(from, to, path string) time.Duration {
					late := tr.probability("late", from, to, path)
					switch path {
					case "/commit":
						return time.Duration((0.3 + 12*late*late) * float64(time.Second))
					default:
						return time.Duration((0.3 + 60*late*late*late) * float64(time.Second))
					}
				}
				c.world.Capacity(8)
				u := newSimulatedUsers(c)
				var ends, lasts []*jobs.Spec
				for i := range 26 {
					id := fmt.Sprintf("j-%d", i+1)
					var s *jobs.Spec
					h := userBehavior{resubmits: r.IntN(4) == 0}
					switch k := r.IntN(8); {
					case i < 2:
						s = serviceJob(id, 2)
						lasts = append(lasts, s)
					case k == 0:
						s = serviceJob(id, 1+r.IntN(3))
						h.cancelAfter = time.Duration(20+r.IntN(120)) * time.Second
					case k == 1:
						s = gangJob(id, 2+r.IntN(3), float64(5+r.IntN(20)))
					case k == 2:
						s = batchJob(id, 2, 0)
						s.EstimateS = float64(2 + r.IntN(70))
					default:
						s = batchJob(id, 1+r.IntN(12), float64(1+r.IntN(40)))
						s.Priority = []string{jobs.Standard, jobs.Urgent, jobs.BestEffort}[r.IntN(3)]
						s.OneZone, s.Spread = r.IntN(5) == 0, r.IntN(6) == 0
						if r.IntN(5) == 0 {
							s.Zone = "a"
						}
						if r.IntN(3) == 0 {
							s.CheckpntS, s.SaveS = 5, 1
						}
					}
					if s.Ends() {
						switch r.IntN(4) {
						case 0:
							h.cancelAfter = time.Duration(1+r.IntN(90)) * time.Second
						case 1:
							h.cancelAtEnd = true
						}
						ends = append(ends, s)
					}
					at := time.Duration(r.IntN(140)) * time.Second
					if i < 8 {
						at = 0
					}
					own := rand.New(rand.NewPCG(seed, uint64(i+1)))
					tr.events = append(tr.events, scheduledEvent{at, func() { u.submitAndFollow(own, s, h) }})
				}
				for range 6 + r.IntN(8) {
					tr.scheduleRandom(time.Duration(15+r.IntN(120)) * time.Second)
				}
				// Two that meet: one begins within seconds of the other.
				for range 4 {
					at := time.Duration(20+r.IntN(110)) * time.Second
					tr.scheduleRandom(at)
					tr.scheduleRandom(at + time.Duration(r.IntN(3000))*time.Millisecond)
				}
				start := time.Now()
				tr.run(start, 230*time.Second)
				over := time.Now()
				for _, n := range c.names {
					if c.processes[n].ended() {
						t.Fatalf("%s was not started again", n)
					}
				}
				c.advance(76 * time.Second)
				for _, id := range c.world.Unanswered(over) {
					if !u.isOver(id) {
						t.Errorf("forgotten: no question about %s was answered for 75 s", id)
					}
				}
				c.within(4*time.Minute, "all work over", func() bool {
					return !slices.ContainsFunc(ends, func(s *jobs.Spec) bool { return c.world.Accepted(s.ID) && !u.isOver(s.ID) })
				})
				c.within(30*time.Second, "services up", func() bool {
					return !slices.ContainsFunc(lasts, func(s *jobs.Spec) bool { return c.world.Accepted(s.ID) && c.tasksOnMachines(s.ID, s.Tasks) != s.Tasks })
				})
				u.stop()
				if t.Failed() {
					t.Log(c.queueSummary())
					t.Log(c.world.Trace())
				}
			})
		})
	}
}
