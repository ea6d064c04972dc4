package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// loss is one way in which the state service loses what it holds.
type lossKind struct {
	name string
	lose func(c *cluster, r *rand.Rand, before emulator.Backup)
}

// loseKeys is a loss of the keys that match, with a trace in the watch or without.
func loseKeys(match func(r *rand.Rand) func(string) bool) func(*cluster, *rand.Rand, emulator.Backup) {
	return func(c *cluster, r *rand.Rand, _ emulator.Backup) {
		lost := c.world.State.Lose(r.IntN(2) == 0, match(r))
		c.world.Note("LOST %v", lost)
	}
}

func matching(match func(string) bool) func(*rand.Rand) func(string) bool {
	return func(*rand.Rand) func(string) bool { return match }
}

var lossKinds = []lossKind{
	{"one job", loseKeys(func(r *rand.Rand) func(string) bool {
		n := r.IntN(20)
		return func(key string) bool {
			if strings.HasPrefix(key, "job/") {
				n--
			}
			return n == -1
		}
	})},
	{"a range of jobs", loseKeys(func(r *rand.Rand) func(string) bool {
		return emulator.WithPrefix(fmt.Sprintf("job/j-%d", 1+r.IntN(2)))
	})},
	{"a third of all keys", loseKeys(func(r *rand.Rand) func(string) bool {
		return func(key string) bool { return key != "term/holder" && r.IntN(3) == 0 }
	})},
	{"all jobs", loseKeys(matching(emulator.WithPrefix("job/")))},
	{"the log", loseKeys(matching(emulator.WithPrefix("book/")))},
	{"the term", loseKeys(matching(emulator.WithPrefix("term/")))},
	{"everything", loseKeys(matching(emulator.WithPrefix("")))},
	{"what is newest", func(c *cluster, _ *rand.Rand, before emulator.Backup) {
		c.world.State.Restore(before)
		c.world.Note("PUT BACK")
	}},
}

// concurrentEvents are what goes on beside a loss.
var concurrentEvents = []struct {
	name string
	do   func(c *cluster, r *rand.Rand, lose func())
}{
	{"nothing", func(_ *cluster, _ *rand.Rand, lose func()) { lose() }},
	{"the leader ends just before", func(c *cluster, r *rand.Rand, lose func()) {
		old := c.leader()
		if old == "" {
			lose()
			return
		}
		c.crash(old)
		c.advance(time.Duration(r.IntN(3000)) * time.Millisecond)
		lose()
		c.advance(time.Duration(r.IntN(10)) * time.Second)
		c.start(old)
	}},
	{"the leader ends just after", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.advance(time.Duration(r.IntN(4000)) * time.Millisecond)
		old := c.leader()
		if old == "" {
			return
		}
		c.crash(old)
		c.advance(time.Duration(r.IntN(10)) * time.Second)
		c.start(old)
	}},
	{"it ends while records are written", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.advance(25 * time.Second)
		if old := c.leader(); old != "" {
			c.crash(old)
			c.advance(time.Second)
			c.start(old)
		}
	}},
	{"an outage follows", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.advance(time.Duration(r.IntN(2000)) * time.Millisecond)
		c.world.State.Down(true)
		c.advance(time.Duration(5+r.IntN(12)) * time.Second)
		c.world.State.Down(false)
	}},
	{"in an outage", func(c *cluster, r *rand.Rand, lose func()) {
		c.world.State.Down(true)
		c.advance(time.Duration(r.IntN(8)) * time.Second)
		lose()
		c.advance(time.Duration(r.IntN(4)) * time.Second)
		c.world.State.Down(false)
	}},
	{"a machine is lost", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		if up := c.world.Machines(); len(up) > 0 {
			c.world.Kill(up[r.IntN(len(up))])
		}
	}},
	{"answers to transactions are lost", func(c *cluster, r *rand.Rand, lose func()) {
		end := c.world.Net.Trouble(func(_, to, path string) emulator.Fault {
			if to == "state" && path == "/commit" && r.IntN(2) == 0 {
				return emulator.LoseAnswer
			}
			return emulator.Deliver
		})
		c.advance(2 * time.Second)
		lose()
		c.advance(4 * time.Second)
		end()
	}},
}

// lossOutcome is what came of one day with a loss.
type lossOutcome struct {
	lossKind, concurrentEvent string
	recoveredAfter            time.Duration // since the loss; 0 if it was not noticed, or is not over
	heldJobs                  int
	unfinished                int // jobs that are not over at the end, but for services
	unfinishedJobs            []string
	wronglyDone               []string
}

// playLossScenario has users at work while the state service loses something in the middle of it.
func playLossScenario(c *cluster, seed uint64, day *lossOutcome) {
	r := rand.New(rand.NewPCG(seed, 24))
	kind, companion := lossKinds[r.IntN(len(lossKinds))], concurrentEvents[r.IntN(len(concurrentEvents))]
	day.lossKind, day.concurrentEvent = kind.name, companion.name
	u := newSimulatedUsers(c)
	for i := range 24 {
		c.advance(time.Duration(r.IntN(3000)) * time.Millisecond)
		u.submitAndFollow(rand.New(rand.NewPCG(seed, uint64(i))), randomJob(r, i), randomBehavior(r))
	}
	before := c.world.State.Backup()
	c.advance(time.Duration(1+r.IntN(20)) * time.Second)
	lostAt := time.Now()
	companion.do(c, r, func() {
		kind.lose(c, r, before)
		lostAt = time.Now()
	})
	for range 200 {
		c.advance(time.Second)
		if s := c.recoveryStatus(); s.Phase == leader.Whole && len(s.Evidence) > 0 && day.recoveredAfter == 0 {
			day.recoveredAfter = time.Since(lostAt)
		}
	}
	u.stop()
	day.heldJobs = c.recoveryStatus().Held
	for _, key := range c.world.State.Keys("job/") {
		var rec jobs.Record
		if json.Unmarshal(c.world.State.Value(key), &rec) != nil {
			continue
		}
		id := jobs.IDOf(key)
		if !rec.Over() && (rec.Spec == nil || rec.Spec.Ends()) {
			day.unfinished++
			day.unfinishedJobs = append(day.unfinishedJobs, fmt.Sprintf("%s %s; %s", id, c.world.State.Value(key), c.queueSummary()))
		}
		// The truth is what the machines have done.
		if spec := c.world.Spec(id); rec.State == jobs.Done && !c.world.AllDone(id) || rec.State == jobs.Done && spec != nil && !spec.Ends() {
			day.wronglyDone = append(day.wronglyDone, id+" is called done")
		}
	}
}

// runLossScenario plays one day in a cluster of its own.
func runLossScenario(t *testing.T, seed uint64, adapt func(*Controller), day *lossOutcome) {
	runCluster(t, func(s *settings.Settings) {
		s.Operator.AuditS = 15 // what is lost without a trace is found by nothing else
	}, func(c *cluster) {
		c.adaptController = adapt
		if adapt != nil { // also for those that run already
			for _, name := range c.names {
				adapt(c.processes[name].controller)
			}
		}
		playLossScenario(c, seed, day)
	})
}

// Whatever is lost, whatever goes on beside it: no rule is broken, no job is given an end
// that it has not had, and work goes on. OSPREYSLIP_SEEDS=100:200 plays other days; with
// OSPREYSLIP_LOSSES=FILE the outcome of each is written there, a line of JSON a day.
func TestLossesMeet(t *testing.T) {
	table := outcomeWriter(t)
	for _, seed := range seedsToPlay(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var day lossOutcome
			defer func() { // a broken rule ends the test at once
				table(seed, day, t.Failed())
				if t.Failed() {
					t.Logf("%s lost; %s", day.lossKind, day.concurrentEvent)
				}
			}()
			runLossScenario(t, seed, withoutKnowledgeSource(t), &day)
			for _, wrong := range day.wronglyDone {
				t.Errorf("%s, though it is not", wrong)
			}
			if day.unfinished > 0 && day.heldJobs == 0 {
				t.Errorf("%d jobs are not over: %v", day.unfinished, day.unfinishedJobs)
			}
		})
	}
}

// withoutKnowledgeSource leaves out a source of knowledge, to measure what it is worth:
// OSPREYSLIP_WITHOUT=peers or kept.
func withoutKnowledgeSource(t *testing.T) func(*Controller) {
	t.Helper()
	switch without := os.Getenv("OSPREYSLIP_WITHOUT"); without {
	case "":
		return nil
	case "peers":
		return func(n *Controller) {
			n.peers.OnLostJobsRequest = func(peer.LostJobsRequest) peer.LostJobsResponse { return peer.LostJobsResponse{Compared: true} }
		}
	default:
		t.Fatalf("OSPREYSLIP_WITHOUT: %q is no source that can be left out", without)
	}
	return nil
}

// outcomeWriter writes the outcome of each day, if a file is named.
func outcomeWriter(t *testing.T) func(seed uint64, d lossOutcome, failed bool) {
	path := os.Getenv("OSPREYSLIP_LOSSES")
	if path == "" {
		return func(uint64, lossOutcome, bool) {}
	}
	return func(seed uint64, d lossOutcome, failed bool) {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			t.Error(err)
			return
		}
		defer f.Close()
		_ = json.NewEncoder(f).Encode(map[string]any{
			"seed": seed, "lost": d.lossKind, "beside": d.concurrentEvent, "wholeAfterS": d.recoveredAfter.Seconds(),
			"held": d.heldJobs, "open": d.unfinished, "wrong": len(d.wronglyDone), "failed": failed,
		})
	}
}

// The kinds of losses and their companions are each drawn by some of the days that run.
func TestLossDaysAreVaried(t *testing.T) {
	var kinds, beside []string
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 24))
		kinds = append(kinds, lossKinds[r.IntN(len(lossKinds))].name)
		beside = append(beside, concurrentEvents[r.IntN(len(concurrentEvents))].name)
	}
	for _, k := range lossKinds {
		if !slices.Contains(kinds, k.name) {
			t.Errorf("no day loses %s", k.name)
		}
	}
	for _, c := range concurrentEvents {
		if !slices.Contains(beside, c.name) {
			t.Errorf("beside no loss: %s", c.name)
		}
	}
}
