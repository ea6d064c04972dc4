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

// faultSchedule draws overlapping faults of all kinds that the protocol allows, and injects them at
// their times. Which faults it draws, and for when, depends only on the seed.
type faultSchedule struct {
	cluster *cluster
	random  *rand.Rand
	seed    uint64
	events  []scheduledEvent
}

// scheduledEvent is an action that is due at a time since the start of the schedule.
type scheduledEvent struct {
	at     time.Duration
	action func()
}

// messageSample returns a pseudo-random number in [0, 1) for a message. It is a hash, so that a run
// with the same seed gets the same numbers, in whatever order goroutines send their messages.
func (s *faultSchedule) messageSample(kind, from, to, path string) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, s.seed, kind, from, to, path, time.Now().UnixNano())
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// scheduleAt schedules an event that takes place once.
func (s *faultSchedule) scheduleAt(at time.Duration, action func()) {
	s.events = append(s.events, scheduledEvent{at, action})
}

// run executes all events that are due by until, also those scheduled meanwhile, and then returns
// at until.
func (s *faultSchedule) run(start time.Time, until time.Duration) {
	for {
		slices.SortStableFunc(s.events, func(a, b scheduledEvent) int { return int(a.at - b.at) })
		if len(s.events) == 0 || s.events[0].at > until {
			break
		}
		next := s.events[0]
		s.events = s.events[1:]
		s.cluster.advance(time.Until(start.Add(next.at)))
		next.action()
	}
	s.cluster.advance(time.Until(start.Add(until)))
}

// scheduleRandom draws a fault of any kind that starts at a time. The names given to injectOnPath
// are part of a hash: with other names, the same seed affects other messages.
func (s *faultSchedule) scheduleRandom(at time.Duration) {
	fault := s.drawFault(at)
	switch s.random.IntN(20) {
	case 0:
		fault.storeOutage()
	case 1, 2:
		fault.storeRefusesOne()
	case 3:
		fault.injectOnPath("transactions are carried out late", "/commit", emulator.DeliverLate)
	case 4:
		fault.injectOnPath("reports come once more, late", "/v1/report", emulator.DeliverTwice)
	case 5:
		fault.injectOnPath("reports are held up", "/v1/report", fault.randomEffect(emulator.DeliverLate, emulator.DeliverSlowly))
	case 6:
		fault.injectOnPath("orders are held up", "/orders", fault.randomEffect(emulator.DeliverLate, emulator.DeliverSlowly, emulator.DeliverTwice, emulator.DropResponse))
	case 7:
		fault.injectOnPath("transactions are slow", "/commit", emulator.DeliverSlowly)
	case 8:
		fault.machinesCannotReceive()
	case 9:
		fault.machinesCannotSend()
	case 10:
		fault.hangingMachines()
	case 11:
		fault.twoMachinesFail()
	case 12:
		fault.injectOnTarget("a controller is cut off from the store", func(from, to string) bool { return from == "state" || to == "state" })
	case 13:
		fault.injectOnTarget("a controller is cut off from the store and its peers", func(from, to string) bool {
			return !isMachine(from) && !isMachine(to) && from != "user"
		})
	case 14:
		fault.injectOnTarget("a controller is cut off from all", func(string, string) bool { return true })
	case 15:
		fault.injectOnTarget("a controller is cut off from the workers", func(from, to string) bool { return isMachine(from) || isMachine(to) })
	case 16:
		fault.zoneCutOff()
	case 17, 18:
		fault.controllersRestart()
	case 19:
		fault.watchesLag()
	}
}

// randomFault has the parameters that all kinds of faults share.
type randomFault struct {
	*faultSchedule
	begin         time.Duration
	duration      time.Duration
	target        func() string  // returns the affected controller: a fixed one, or the current leader
	affectedShare float64        // of machines or messages that are affected
	effect        emulator.Fault // on messages
}

// drawFault draws the parameters of a fault that starts at a time.
func (s *faultSchedule) drawFault(at time.Duration) *randomFault {
	duration := time.Duration(1+s.random.IntN(12)) * time.Second
	if s.random.IntN(3) == 0 {
		duration *= 6 // may exceed the worker lease and the cancellation deadline
	}
	fixed := s.cluster.names[s.random.IntN(3)]
	target := func() string { return fixed }
	if s.random.IntN(2) == 0 {
		target = func() string {
			if name := s.cluster.leader(); name != "" {
				return name
			}
			return fixed
		}
	}
	fault := &randomFault{faultSchedule: s, begin: at, duration: duration, target: target, affectedShare: 0.1 + 0.6*s.random.Float64()}
	fault.effect = fault.randomEffect(emulator.DropRequest, emulator.RefuseConnection, emulator.DeliverLate, emulator.DropResponse)
	return fault
}

// randomEffect draws one of the effects.
func (f *randomFault) randomEffect(effects ...emulator.Fault) emulator.Fault {
	return effects[f.random.IntN(len(effects))]
}

// schedule calls begin when the fault starts, and the function that begin returns when it ends.
func (f *randomFault) schedule(name string, begin func() (end func())) {
	f.scheduleAt(f.begin, func() {
		f.cluster.world.Tracef("== %s, for %v", name, f.duration)
		end := begin()
		f.scheduleAt(f.begin+f.duration, func() {
			f.cluster.world.Tracef("== %s ends", name)
			end()
		})
	})
}

// injectOnPath applies an effect to the fault's share of the messages to a path. The choice of
// messages depends on the name.
func (f *randomFault) injectOnPath(name, path string, effect emulator.Fault) {
	f.schedule(name, func() func() {
		return f.cluster.world.Network.AddFaults(func(from, to, messagePath string) emulator.Fault {
			if messagePath == path && f.messageSample(name, from, to, messagePath) < f.affectedShare {
				return effect
			}
			return emulator.Deliver
		})
	})
}

// injectOnTarget applies the fault's effect to the messages from and to its target that match.
func (f *randomFault) injectOnTarget(name string, match func(from, to string) bool) {
	f.schedule(name, func() func() {
		target := f.target()
		f.cluster.world.Tracef("== target %s, effect %d", target, f.effect)
		return f.cluster.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if path == emulator.StreamPath && f.effect == emulator.DeliverLate {
				return emulator.Deliver
			}
			if (from == target || to == target) && match(from, to) {
				return f.effect
			}
			return emulator.Deliver
		})
	})
}

// someMachines draws the machines that the fault affects, on average its share of those that are
// up.
func (f *randomFault) someMachines() map[string]bool {
	machines := map[string]bool{}
	for _, name := range f.cluster.world.Machines() {
		if f.random.Float64() < f.affectedShare {
			machines[name] = true
		}
	}
	return machines
}

func (f *randomFault) storeOutage() {
	f.schedule("store outage", func() func() {
		f.cluster.world.Store.SetOutage(true)
		return func() { f.cluster.world.Store.SetOutage(false) }
	})
}

func (f *randomFault) storeRefusesOne() {
	f.schedule("the store refuses one controller", func() func() {
		target := f.target()
		f.cluster.world.Tracef("== target %s", target)
		f.cluster.world.Store.SetRefused(target, true)
		return func() { f.cluster.world.Store.SetRefused(target, false) }
	})
}

func (f *randomFault) machinesCannotReceive() {
	f.schedule("machines cannot receive", func() func() {
		affected := f.someMachines()
		return f.cluster.world.Network.AddFaults(func(from, to, _ string) emulator.Fault {
			switch {
			case affected[from]:
				return emulator.DropResponse
			case affected[to]:
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
	})
}

func (f *randomFault) machinesCannotSend() {
	f.schedule("machines cannot send", func() func() {
		affected := f.someMachines()
		return f.cluster.world.Network.AddFaults(func(from, _, _ string) emulator.Fault {
			if affected[from] {
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
	})
}

func (f *randomFault) hangingMachines() {
	f.schedule("machines hang", func() func() {
		var hung []*emulator.Worker
		for name := range f.someMachines() {
			hung = append(hung, f.cluster.world.Worker(name))
		}
		setHanging := func(on bool) {
			for _, worker := range hung {
				worker.SetHung(on)
			}
		}
		setHanging(true)
		return func() { setHanging(false) }
	})
}

func (f *randomFault) twoMachinesFail() {
	f.scheduleAt(f.begin, func() {
		machines := f.cluster.world.Machines()
		for _, name := range machines[:min(2, len(machines))] {
			f.cluster.world.Tracef("== %s fails", name)
			f.cluster.world.KillMachine(name)
		}
	})
}

// zoneCutOff cuts off the machines of a zone, in half of the cases together with the target.
func (f *randomFault) zoneCutOff() {
	zone := f.cluster.settings("perch-0").Deployment.Zones[f.random.IntN(3)]
	withTarget := f.random.IntN(2) == 0
	f.schedule("a zone is cut off", func() func() {
		target := f.target()
		inside := func(host string) bool { return withTarget && host == target || f.cluster.world.ZoneOf(host) == zone }
		return f.cluster.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if from != "user" && inside(from) != inside(to) && (path != emulator.StreamPath || f.effect != emulator.DeliverLate) {
				return f.effect
			}
			return emulator.Deliver
		})
	})
}

// controllersRestart crashes the target, the target and another controller, or all controllers, and
// starts them again after a short pause.
func (f *randomFault) controllersRestart() {
	pauses := []time.Duration{10 * time.Millisecond, 150 * time.Millisecond, time.Second, 5 * time.Second}
	pause := pauses[f.random.IntN(len(pauses))]
	f.scheduleAt(f.begin, func() {
		names := []string{f.target()}
		switch f.random.IntN(4) {
		case 0:
			names = slices.Clone(f.cluster.names)
		case 1:
			names = append(names, f.cluster.names[(slices.Index(f.cluster.names, names[0])+1)%3])
		}
		names = slices.DeleteFunc(names, func(name string) bool { return f.cluster.incarnations[name].ended() })
		f.cluster.crash(names...)
		for i, name := range names {
			f.scheduleAt(f.begin+pause+time.Duration(i*f.random.IntN(300))*time.Millisecond, func() {
				if f.cluster.incarnations[name].ended() {
					f.cluster.start(name)
				}
			})
		}
	})
}

func (f *randomFault) watchesLag() {
	lag := 1 + f.random.IntN(40)
	f.schedule("watches lag", func() func() {
		f.cluster.world.Store.SetWatchLag(lag)
		return func() { f.cluster.world.Store.SetWatchLag(0) }
	})
}

func isMachine(host string) bool { return strings.HasPrefix(host, "m-") }
