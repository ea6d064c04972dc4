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

// losing is a loss of the keys that match, with a trace in the watch or without.
func losing(match func(r *rand.Rand) func(string) bool) func(*cluster, *rand.Rand, emulator.Backup) {
	return func(c *cluster, r *rand.Rand, _ emulator.Backup) {
		lost := c.world.State.Lose(r.IntN(2) == 0, match(r))
		c.world.Note("LOST %v", lost)
	}
}

func always(match func(string) bool) func(*rand.Rand) func(string) bool {
	return func(*rand.Rand) func(string) bool { return match }
}

var lossKinds = []lossKind{
	{"one job", losing(func(r *rand.Rand) func(string) bool {
		n := r.IntN(20)
		return func(key string) bool {
			if strings.HasPrefix(key, "job/") {
				n--
			}
			return n == -1
		}
	})},
	{"a range of jobs", losing(func(r *rand.Rand) func(string) bool {
		return emulator.WithPrefix(fmt.Sprintf("job/j-%d", 1+r.IntN(2)))
	})},
	{"a third of all keys", losing(func(r *rand.Rand) func(string) bool {
		return func(key string) bool { return key != "term/holder" && r.IntN(3) == 0 }
	})},
	{"all jobs", losing(always(emulator.WithPrefix("job/")))},
	{"the log", losing(always(emulator.WithPrefix("book/")))},
	{"the term", losing(always(emulator.WithPrefix("term/")))},
	{"everything", losing(always(emulator.WithPrefix("")))},
	{"what is newest", func(c *cluster, _ *rand.Rand, before emulator.Backup) {
		c.world.State.Restore(before)
		c.world.Note("PUT BACK")
	}},
}

// companions are what goes on beside a loss.
var companions = []struct {
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
		c.run(time.Duration(r.IntN(3000)) * time.Millisecond)
		lose()
		c.run(time.Duration(r.IntN(10)) * time.Second)
		c.start(old)
	}},
	{"the leader ends just after", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.run(time.Duration(r.IntN(4000)) * time.Millisecond)
		old := c.leader()
		if old == "" {
			return
		}
		c.crash(old)
		c.run(time.Duration(r.IntN(10)) * time.Second)
		c.start(old)
	}},
	{"it ends while records are written", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.run(25 * time.Second)
		if old := c.leader(); old != "" {
			c.crash(old)
			c.run(time.Second)
			c.start(old)
		}
	}},
	{"an outage follows", func(c *cluster, r *rand.Rand, lose func()) {
		lose()
		c.run(time.Duration(r.IntN(2000)) * time.Millisecond)
		c.world.State.Down(true)
		c.run(time.Duration(5+r.IntN(12)) * time.Second)
		c.world.State.Down(false)
	}},
	{"in an outage", func(c *cluster, r *rand.Rand, lose func()) {
		c.world.State.Down(true)
		c.run(time.Duration(r.IntN(8)) * time.Second)
		lose()
		c.run(time.Duration(r.IntN(4)) * time.Second)
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
		c.run(2 * time.Second)
		lose()
		c.run(4 * time.Second)
		end()
	}},
}

// lossDay is what came of one day with a loss.
type lossDay struct {
	kind, companion string
	wholeAfter      time.Duration // since the loss; 0 if it was not noticed, or is not over
	held            int
	open            int // jobs that are not over at the end, but for services
	openJobs        []string
	wrong           []string
}

// playLossDay has users at work while the state service loses something in the middle of it.
func playLossDay(c *cluster, seed uint64, day *lossDay) {
	r := rand.New(rand.NewPCG(seed, 24))
	kind, companion := lossKinds[r.IntN(len(lossKinds))], companions[r.IntN(len(companions))]
	day.kind, day.companion = kind.name, companion.name
	u := newUsers(c)
	for i := range 24 {
		c.run(time.Duration(r.IntN(3000)) * time.Millisecond)
		u.job(rand.New(rand.NewPCG(seed, uint64(i))), drawJob(r, i), drawHabit(r))
	}
	before := c.world.State.Backup()
	c.run(time.Duration(1+r.IntN(20)) * time.Second)
	lostAt := time.Now()
	companion.do(c, r, func() {
		kind.lose(c, r, before)
		lostAt = time.Now()
	})
	for range 200 {
		c.run(time.Second)
		if s := c.recoveryOf(); s.Phase == leader.Whole && len(s.Evidence) > 0 && day.wholeAfter == 0 {
			day.wholeAfter = time.Since(lostAt)
		}
	}
	u.stop()
	day.held = c.recoveryOf().Held
	for _, key := range c.world.State.Keys("job/") {
		var rec jobs.Record
		if json.Unmarshal(c.world.State.Value(key), &rec) != nil {
			continue
		}
		id := jobs.IDOf(key)
		if !rec.Over() && (rec.Spec == nil || rec.Spec.Ends()) {
			day.open++
			day.openJobs = append(day.openJobs, fmt.Sprintf("%s %s; %s", id, c.world.State.Value(key), c.waiting()))
		}
		// The truth is what the machines have done.
		if spec := c.world.Spec(id); rec.State == jobs.Done && !c.world.AllDone(id) || rec.State == jobs.Done && spec != nil && !spec.Ends() {
			day.wrong = append(day.wrong, id+" is called done")
		}
	}
}

// waiting is what the leader says of all classes.
func (c *cluster) waiting() string {
	for _, name := range c.names {
		if s := c.nodes[name].node.gate.Status(c.ctx); s != nil {
			return fmt.Sprintf("%+v, %d to write", s.Classes, s.WriteQueue)
		}
	}
	return "nobody leads"
}

func drawJob(r *rand.Rand, i int) *jobs.Spec {
	id := fmt.Sprintf("j-%d", 10+i)
	switch r.IntN(8) {
	case 0:
		return service(id, 1+r.IntN(2))
	case 1:
		return gang(id, 2, float64(5+r.IntN(20)))
	}
	return batch(id, 1+r.IntN(4), float64(3+r.IntN(30)))
}

func drawHabit(r *rand.Rand) habit {
	h := habit{repeats: r.IntN(3) == 0}
	if r.IntN(4) == 0 {
		h.cancelAfter = time.Duration(5+r.IntN(60)) * time.Second
	}
	return h
}

// lossDayOnce plays one day in a cluster of its own.
func lossDayOnce(t *testing.T, seed uint64, adapt func(*Controller), day *lossDay) {
	inCluster(t, func(s *settings.Settings) {
		s.Operator.AuditS = 15 // what is lost without a trace is found by nothing else
	}, func(c *cluster) {
		c.adapt = adapt
		if adapt != nil { // also for those that run already
			for _, name := range c.names {
				adapt(c.nodes[name].node)
			}
		}
		playLossDay(c, seed, day)
	})
}

// Whatever is lost, whatever goes on beside it: no rule is broken, no job is given an end
// that it has not had, and work goes on. OSPREYSLIP_SEEDS=100:200 plays other days; with
// OSPREYSLIP_LOSSES=FILE the outcome of each is written there, a line of JSON a day.
func TestLossesMeet(t *testing.T) {
	table := lossTable(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var day lossDay
			defer func() { // a broken rule ends the test at once
				table(seed, day, t.Failed())
				if t.Failed() {
					t.Logf("%s lost; %s", day.kind, day.companion)
				}
			}()
			lossDayOnce(t, seed, withoutSource(t), &day)
			for _, wrong := range day.wrong {
				t.Errorf("%s, though it is not", wrong)
			}
			if day.open > 0 && day.held == 0 {
				t.Errorf("%d jobs are not over: %v", day.open, day.openJobs)
			}
		})
	}
}

// withoutSource leaves out a source of knowledge, to measure what it is worth:
// OSPREYSLIP_WITHOUT=peers or kept.
func withoutSource(t *testing.T) func(*Controller) {
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

// lossTable writes the outcome of each day, if a file is named.
func lossTable(t *testing.T) func(seed uint64, d lossDay, failed bool) {
	path := os.Getenv("OSPREYSLIP_LOSSES")
	if path == "" {
		return func(uint64, lossDay, bool) {}
	}
	return func(seed uint64, d lossDay, failed bool) {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			t.Error(err)
			return
		}
		defer f.Close()
		_ = json.NewEncoder(f).Encode(map[string]any{
			"seed": seed, "lost": d.kind, "beside": d.companion, "wholeAfterS": d.wholeAfter.Seconds(),
			"held": d.held, "open": d.open, "wrong": len(d.wrong), "failed": failed,
		})
	}
}

// The kinds of losses and their companions are each drawn by some of the days that run.
func TestLossDaysAreVaried(t *testing.T) {
	var kinds, beside []string
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 24))
		kinds = append(kinds, lossKinds[r.IntN(len(lossKinds))].name)
		beside = append(beside, companions[r.IntN(len(companions))].name)
	}
	for _, k := range lossKinds {
		if !slices.Contains(kinds, k.name) {
			t.Errorf("no day loses %s", k.name)
		}
	}
	for _, c := range companions {
		if !slices.Contains(beside, c.name) {
			t.Errorf("beside no loss: %s", c.name)
		}
	}
}
