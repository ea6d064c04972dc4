package controller

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ospreyslip/internal/emulator"
)

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
