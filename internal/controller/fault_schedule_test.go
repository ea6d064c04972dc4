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

// faultSchedule draws faults of all kinds that the protocol names, one on another, and brings
// them about at their times. What is drawn, and when, depends on the seed only.
type faultSchedule struct {
	cluster *cluster
	random  *rand.Rand
	seed    uint64
	events  []scheduledEvent
}

// scheduledEvent is due at a time since the schedule began.
type scheduledEvent struct {
	at time.Duration
	do func()
}

// probability returns a number in [0, 1) that is the same for the same message in every run.
func (s *faultSchedule) probability(kind, from, to, path string) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, s.seed, kind, from, to, path, time.Now().UnixNano())
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// once schedules an event.
func (s *faultSchedule) once(at time.Duration, do func()) {
	s.events = append(s.events, scheduledEvent{at, do})
}

// run brings about all events up to a time, and returns then.
func (s *faultSchedule) run(start time.Time, until time.Duration) {
	for {
		slices.SortStableFunc(s.events, func(a, b scheduledEvent) int { return int(a.at - b.at) })
		if len(s.events) == 0 || s.events[0].at > until {
			break
		}
		next := s.events[0]
		s.events = s.events[1:]
		s.cluster.advance(time.Until(start.Add(next.at)))
		next.do()
	}
	s.cluster.advance(time.Until(start.Add(until)))
}

// scheduleRandom draws one fault of any kind, to begin at a time.
func (s *faultSchedule) scheduleRandom(at time.Duration) {
	fault := s.drawFault(at)
	switch s.random.IntN(20) {
	case 0:
		fault.storeOutage()
	case 1, 2:
		fault.storeRefusesOne()
	case 3:
		fault.onMessages("transactions are carried out late", "/commit", emulator.DeliverLate)
	case 4:
		fault.onMessages("reports come once more, late", "/v1/report", emulator.DeliverTwice)
	case 5:
		fault.onMessages("reports are held up", "/v1/report", fault.oneOf(emulator.DeliverLate, emulator.DeliverSlowly))
	case 6:
		fault.onMessages("orders are held up", "/orders", fault.oneOf(emulator.DeliverLate, emulator.DeliverSlowly, emulator.DeliverTwice, emulator.DropResponse))
	case 7:
		fault.onMessages("transactions are slow", "/commit", emulator.DeliverSlowly)
	case 8:
		fault.deafMachines()
	case 9:
		fault.muteMachines()
	case 10:
		fault.hangingMachines()
	case 11:
		fault.twoMachinesDie()
	case 12:
		fault.onTarget("a node is cut off from the state service", func(from, to string) bool { return from == "state" || to == "state" })
	case 13:
		fault.onTarget("a node is cut off from state service and peers", func(from, to string) bool {
			return !isMachine(from) && !isMachine(to) && from != "user"
		})
	case 14:
		fault.onTarget("a node is cut off from all", func(string, string) bool { return true })
	case 15:
		fault.onTarget("a node is cut off from the workers", func(from, to string) bool { return isMachine(from) || isMachine(to) })
	case 16:
		fault.zoneCutOff()
	case 17, 18:
		fault.controllersRestart()
	case 19:
		fault.watchesLag()
	}
}

// randomFault is what all kinds of faults have in common.
type randomFault struct {
	*faultSchedule
	begin  time.Duration
	lasts  time.Duration
	target func() string  // the controller that it concerns: any, or who leads when it begins
	share  float64        // of machines or messages
	effect emulator.Fault // on messages
}

func (s *faultSchedule) drawFault(at time.Duration) *randomFault {
	lasts := time.Duration(1+s.random.IntN(12)) * time.Second
	if s.random.IntN(3) == 0 {
		lasts *= 6 // beyond any lease, and beyond the time of a cancellation
	}
	node := s.cluster.names[s.random.IntN(3)]
	target := func() string { return node }
	if s.random.IntN(2) == 0 {
		target = func() string {
			if name := s.cluster.leader(); name != "" {
				return name
			}
			return node
		}
	}
	fault := &randomFault{faultSchedule: s, begin: at, lasts: lasts, target: target, share: 0.1 + 0.6*s.random.Float64()}
	fault.effect = fault.oneOf(emulator.DropRequest, emulator.RefuseConnection, emulator.DeliverLate, emulator.DropResponse)
	return fault
}

func (f *randomFault) oneOf(effects ...emulator.Fault) emulator.Fault {
	return effects[f.random.IntN(len(effects))]
}

// schedule has the fault begin and end at its times.
func (f *randomFault) schedule(name string, begin func() (end func())) {
	f.once(f.begin, func() {
		f.cluster.world.Tracef("== %s, for %v", name, f.lasts)
		end := begin()
		f.once(f.begin+f.lasts, func() {
			f.cluster.world.Tracef("== %s is over", name)
			end()
		})
	})
}

// onMessages has an effect on a share of the messages to a path.
func (f *randomFault) onMessages(name, path string, effect emulator.Fault) {
	f.schedule(name, func() func() {
		return f.cluster.world.Network.AddFaults(func(from, to, messagePath string) emulator.Fault {
			if messagePath == path && f.probability(name, from, to, messagePath) < f.share {
				return effect
			}
			return emulator.Deliver
		})
	})
}

// onTarget has the fault's effect on the messages from and to its target that match.
func (f *randomFault) onTarget(name string, match func(from, to string) bool) {
	f.schedule(name, func() func() {
		target := f.target()
		f.cluster.world.Tracef("== of %s, fault %d", target, f.effect)
		return f.cluster.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if path == emulator.Stream && f.effect == emulator.DeliverLate {
				return emulator.Deliver
			}
			if (from == target || to == target) && match(from, to) {
				return f.effect
			}
			return emulator.Deliver
		})
	})
}

// someMachines draws the fault's share of the machines that are up.
func (f *randomFault) someMachines() map[string]bool {
	machines := map[string]bool{}
	for _, name := range f.cluster.world.Machines() {
		if f.random.Float64() < f.share {
			machines[name] = true
		}
	}
	return machines
}

func (f *randomFault) storeOutage() {
	f.schedule("the state service is out", func() func() {
		f.cluster.world.Store.SetOutage(true)
		return func() { f.cluster.world.Store.SetOutage(false) }
	})
}

func (f *randomFault) storeRefusesOne() {
	f.schedule("the state service refuses one", func() func() {
		target := f.target()
		f.cluster.world.Tracef("== it is %s", target)
		f.cluster.world.Store.SetRefused(target, true)
		return func() { f.cluster.world.Store.SetRefused(target, false) }
	})
}

func (f *randomFault) deafMachines() {
	f.schedule("machines are deaf", func() func() {
		deaf := f.someMachines()
		return f.cluster.world.Network.AddFaults(func(from, to, _ string) emulator.Fault {
			switch {
			case deaf[from]:
				return emulator.DropResponse
			case deaf[to]:
				return emulator.DropRequest
			}
			return emulator.Deliver
		})
	})
}

func (f *randomFault) muteMachines() {
	f.schedule("machines are mute", func() func() {
		mute := f.someMachines()
		return f.cluster.world.Network.AddFaults(func(from, _, _ string) emulator.Fault {
			if mute[from] {
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

func (f *randomFault) twoMachinesDie() {
	f.once(f.begin, func() {
		machines := f.cluster.world.Machines()
		for _, name := range machines[:min(2, len(machines))] {
			f.cluster.world.Tracef("== %s dies", name)
			f.cluster.world.KillMachine(name)
		}
	})
}

// zoneCutOff cuts the machines of a zone off, some times with the target in it.
func (f *randomFault) zoneCutOff() {
	zone := f.cluster.settings("perch-0").Deployment.Zones[f.random.IntN(3)]
	withTarget := f.random.IntN(2) == 0
	f.schedule("a zone is cut off", func() func() {
		target := f.target()
		inside := func(host string) bool { return withTarget && host == target || f.cluster.world.ZoneOf(host) == zone }
		return f.cluster.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
			if from != "user" && inside(from) != inside(to) && (path != emulator.Stream || f.effect != emulator.DeliverLate) {
				return f.effect
			}
			return emulator.Deliver
		})
	})
}

// controllersRestart ends the target, two controllers or all, and starts them again soon.
func (f *randomFault) controllersRestart() {
	pauses := []time.Duration{10 * time.Millisecond, 150 * time.Millisecond, time.Second, 5 * time.Second}
	pause := pauses[f.random.IntN(len(pauses))]
	f.once(f.begin, func() {
		names := []string{f.target()}
		switch f.random.IntN(4) {
		case 0:
			names = slices.Clone(f.cluster.names)
		case 1:
			names = append(names, f.cluster.names[(slices.Index(f.cluster.names, names[0])+1)%3])
		}
		names = slices.DeleteFunc(names, func(name string) bool { return f.cluster.processes[name].ended() })
		f.cluster.crash(names...)
		for i, name := range names {
			f.once(f.begin+pause+time.Duration(i*f.random.IntN(300))*time.Millisecond, func() {
				if f.cluster.processes[name].ended() {
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
