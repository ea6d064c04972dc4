package controller

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// simulatedUsers submit jobs, ask about them, cancel some and repeat themselves, one request
// at a time for each job, until they are told that it is over.
type simulatedUsers struct {
	cluster       *cluster
	ctx           context.Context
	cancel        context.CancelFunc
	following     sync.WaitGroup
	mu            sync.Mutex
	lastTaskEnded map[string]chan struct{} // closed when a job's last task has ended
	finalStates   map[string]string
	submitted     int
}

func newSimulatedUsers(c *cluster) *simulatedUsers {
	u := &simulatedUsers{cluster: c, lastTaskEnded: map[string]chan struct{}{}, finalStates: map[string]string{}}
	u.ctx, u.cancel = context.WithCancel(c.ctx)
	c.world.Ended = func(id string) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if end := u.lastTaskEnded[id]; end != nil {
			close(end)
			u.lastTaskEnded[id] = nil
		}
	}
	return u
}

// What a user does about a job besides asking.
type userBehavior struct {
	cancelAfter time.Duration // 0: never
	cancelAtEnd bool          // cancels at the moment at which the last task ends
	resubmits   bool          // submits it again and again
}

func (u *simulatedUsers) submitAndFollow(r *rand.Rand, s *jobs.Spec, h userBehavior) {
	u.cluster.world.Upload(s)
	end := make(chan struct{})
	u.mu.Lock()
	u.lastTaskEnded[s.ID] = end
	u.submitted++
	u.mu.Unlock()
	u.following.Go(func() { u.follow(r, s, h, end) })
}

func (u *simulatedUsers) follow(r *rand.Rand, s *jobs.Spec, h userBehavior, end chan struct{}) {
	node := func() string { return u.cluster.names[r.IntN(len(u.cluster.names))] }
	sleep := func(d time.Duration) bool {
		select {
		case <-u.ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	// A request is repeated until it is answered, for a minute.
	until := func(method, path string, body any) (int, map[string]any) {
		for start := time.Now(); ; {
			status, view := u.cluster.request(method, node(), path, body)
			if status == http.StatusOK || status == http.StatusCreated || status == http.StatusUnprocessableEntity || time.Since(start) > time.Minute {
				return status, view
			}
			if !sleep(time.Second + time.Duration(r.IntN(1000))*time.Millisecond) {
				return 0, nil
			}
		}
	}
	if status, _ := until("POST", "/v1/jobs", wireSpec(s)); status != http.StatusCreated && status != http.StatusOK {
		return
	}
	var withdraw <-chan time.Time
	if h.cancelAfter > 0 {
		withdraw = time.After(h.cancelAfter)
	}
	for {
		called := false
		select {
		case <-u.ctx.Done():
			return
		case <-withdraw:
			withdraw, called = nil, true
		case <-end:
			end, called = nil, h.cancelAtEnd
		case <-time.After(4*time.Second + time.Duration(r.IntN(2000))*time.Millisecond):
		}
		status, view := 0, map[string]any(nil)
		switch {
		case called:
			status, view = until("POST", "/v1/jobs/"+s.ID+"/withdraw", nil)
		case h.resubmits && r.IntN(3) == 0:
			status, view = u.cluster.request("POST", node(), "/v1/jobs", wireSpec(s))
		default:
			status, view = u.cluster.request("GET", node(), "/v1/jobs/"+s.ID, nil)
		}
		if stance, _ := view["stance"].(string); status == http.StatusOK && (stance == jobs.Done || stance == jobs.Cancelled) {
			u.mu.Lock()
			u.finalStates[s.ID] = stance
			u.mu.Unlock()
			if h.resubmits && u.ctx.Err() == nil && sleep(10*time.Second) {
				u.cluster.request("POST", node(), "/v1/jobs", wireSpec(s)) // at any later time
			}
			return
		}
	}
}

// stop lets all users go.
func (u *simulatedUsers) stop() {
	u.cancel()
	u.following.Wait()
}

// newRand is a source for a test's own users.
func (c *cluster) newRand() *rand.Rand {
	c.randomSources++
	return rand.New(rand.NewPCG(c.randomSources, 0))
}

func (u *simulatedUsers) isOver(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.finalStates[id] != ""
}

// faultSchedule draws from all that the users' pages name, one on another.
type faultSchedule struct {
	cluster *cluster
	random  *rand.Rand
	seed    uint64
	events  []scheduledEvent
}

type scheduledEvent struct {
	at time.Duration
	do func()
}

// probability is the same for the same message in every run.
func (tr *faultSchedule) probability(kind, from, to, path string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, tr.seed, kind, from, to, path, time.Now().UnixNano())
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (tr *faultSchedule) schedule(at, life time.Duration, name string, begin func() (end func())) {
	tr.events = append(tr.events, scheduledEvent{at, func() {
		tr.cluster.world.Note("== %s, for %v", name, life)
		end := begin()
		tr.events = append(tr.events, scheduledEvent{at + life, func() {
			tr.cluster.world.Note("== %s is over", name)
			end()
		}})
	}})
}

func (tr *faultSchedule) scheduleRule(at, life time.Duration, name string, rule emulator.Rule) {
	tr.schedule(at, life, name, func() func() { return tr.cluster.world.Net.Trouble(rule) })
}

// run plays all events up to a moment.
func (tr *faultSchedule) run(start time.Time, until time.Duration) {
	for {
		slices.SortStableFunc(tr.events, func(a, b scheduledEvent) int { return int(a.at - b.at) })
		if len(tr.events) == 0 || tr.events[0].at > until {
			break
		}
		e := tr.events[0]
		tr.events = tr.events[1:]
		tr.cluster.advance(time.Until(start.Add(e.at)))
		e.do()
	}
	tr.cluster.advance(time.Until(start.Add(until)))
}

func isMachine(host string) bool { return strings.HasPrefix(host, "m-") }

// scheduleRandom adds one trouble of any kind.
func (tr *faultSchedule) scheduleRandom(at time.Duration) {
	c, r := tr.cluster, tr.random
	life := time.Duration(1+r.IntN(12)) * time.Second
	if r.IntN(3) == 0 {
		life *= 6 // beyond any lease, and beyond the time of a cancellation
	}
	node := c.names[r.IntN(3)]
	who := func() string { // the leader, if it is meant
		return node
	}
	if r.IntN(2) == 0 {
		who = func() string {
			if l := c.leader(); l != "" {
				return l
			}
			return node
		}
	}
	share := 0.1 + 0.6*r.Float64()
	fault := []emulator.Fault{emulator.Silent, emulator.Refuse, emulator.Late, emulator.LoseAnswer}[r.IntN(4)]
	nodeRule := func(name string, cut func(node, from, to string) bool) {
		tr.schedule(at, life, name, func() func() {
			n := who()
			c.world.Note("== of %s, fault %d", n, fault)
			return c.world.Net.Trouble(func(from, to, path string) emulator.Fault {
				if path == emulator.Stream && fault == emulator.Late {
					return emulator.Deliver
				}
				if (from == n || to == n) && cut(n, from, to) {
					return fault
				}
				return emulator.Deliver
			})
		})
	}
	some := func() map[string]bool { // of the machines
		set := map[string]bool{}
		for _, m := range c.world.Machines() {
			if r.Float64() < share {
				set[m] = true
			}
		}
		return set
	}
	messages := func(name, path string, f emulator.Fault) {
		tr.scheduleRule(at, life, name, func(from, to, p string) emulator.Fault {
			if p == path && tr.probability(name, from, to, p) < share {
				return f
			}
			return emulator.Deliver
		})
	}
	switch r.IntN(20) {
	case 0:
		tr.schedule(at, life, "the state service is out", func() func() {
			c.world.State.Down(true)
			return func() { c.world.State.Down(false) }
		})
	case 1, 2:
		tr.schedule(at, life, "the state service refuses one", func() func() {
			n := who()
			c.world.Note("== it is %s", n)
			c.world.State.RefuseFrom(n, true)
			return func() { c.world.State.RefuseFrom(n, false) }
		})
	case 3:
		messages("transactions are carried out late", "/commit", emulator.Late)
	case 4:
		messages("reports come once more, late", "/v1/report", emulator.Copied)
	case 5:
		messages("reports are held up", "/v1/report", []emulator.Fault{emulator.Late, emulator.Slow}[r.IntN(2)])
	case 6:
		messages("orders are held up", "/orders", []emulator.Fault{emulator.Late, emulator.Slow, emulator.Copied, emulator.LoseAnswer}[r.IntN(4)])
	case 7:
		messages("transactions are slow", "/commit", emulator.Slow)
	case 8:
		tr.schedule(at, life, "machines are deaf", func() func() {
			deaf := some()
			return c.world.Net.Trouble(func(from, to, _ string) emulator.Fault {
				switch {
				case deaf[from]:
					return emulator.LoseAnswer
				case deaf[to]:
					return emulator.Silent
				}
				return emulator.Deliver
			})
		})
	case 9:
		tr.schedule(at, life, "machines are mute", func() func() {
			mute := some()
			return c.world.Net.Trouble(func(from, _, _ string) emulator.Fault {
				if mute[from] {
					return emulator.Silent
				}
				return emulator.Deliver
			})
		})
	case 10:
		tr.schedule(at, life, "machines hang", func() func() {
			var hung []*emulator.Worker
			for m := range some() {
				hung = append(hung, c.world.Worker(m))
			}
			for _, w := range hung {
				w.Hang(true)
			}
			return func() {
				for _, w := range hung {
					w.Hang(false)
				}
			}
		})
	case 11:
		tr.events = append(tr.events, scheduledEvent{at, func() {
			for i, m := range c.world.Machines() {
				if i < 2 {
					c.world.Note("== %s dies", m)
					c.world.Kill(m)
				}
			}
		}})
	case 12:
		nodeRule("a node is cut off from the state service", func(_, from, to string) bool { return from == "state" || to == "state" })
	case 13:
		nodeRule("a node is cut off from state service and peers", func(_, from, to string) bool {
			return !isMachine(from) && !isMachine(to) && from != "user"
		})
	case 14:
		nodeRule("a node is cut off from all", func(string, string, string) bool { return true })
	case 15:
		nodeRule("a node is cut off from the workers", func(_, from, to string) bool { return isMachine(from) || isMachine(to) })
	case 16:
		zone := c.world.ZoneOf
		in := c.settings("perch-0").Deployment.Zones[r.IntN(3)]
		with := r.IntN(2) == 0
		tr.schedule(at, life, "a zone is cut off", func() func() {
			n := who()
			within := func(host string) bool { return with && host == n || zone(host) == in }
			return c.world.Net.Trouble(func(from, to, path string) emulator.Fault {
				if from != "user" && within(from) != within(to) && (path != emulator.Stream || fault != emulator.Late) {
					return fault
				}
				return emulator.Deliver
			})
		})
	case 17, 18:
		back := []time.Duration{10 * time.Millisecond, 150 * time.Millisecond, time.Second, 5 * time.Second}[r.IntN(4)]
		tr.events = append(tr.events, scheduledEvent{at, func() {
			names := []string{who()}
			switch r.IntN(4) {
			case 0:
				names = slices.Clone(c.names)
			case 1:
				names = append(names, c.names[(slices.Index(c.names, names[0])+1)%3])
			}
			names = slices.DeleteFunc(names, func(n string) bool { return c.processes[n].ended() })
			c.crash(names...)
			for i, n := range names {
				tr.events = append(tr.events, scheduledEvent{at + back + time.Duration(i*r.IntN(300))*time.Millisecond, func() {
					if c.processes[n].ended() {
						c.start(n)
					}
				}})
			}
		}})
	case 19:
		lag := 1 + r.IntN(40)
		tr.schedule(at, life, "watches lag", func() func() {
			c.world.State.Lag(lag)
			return func() { c.world.State.Lag(0) }
		})
	}
}

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
