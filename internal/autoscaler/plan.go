package autoscaler

import (
	"cmp"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Need is work without a machine.
type Need struct {
	Spec  *jobs.Spec
	Zones map[string]int // the job's tasks by zone
	Count int
}

// Market is what the planner may choose from.
type Market struct {
	Types   []jobs.MachineType
	Have    map[Kind]int      // machines by kind, to spread them over zones
	Refused func(k Kind) bool // no capacity a short while ago
}

// room is what is free on machines that will take work once they are up. Most of
// them are alike, so that they are counted, not listed.
type room struct {
	Kind
	free placement.Amount
}

// Plan returns what to rent: each need goes to the machines that are coming
// first and, for the rest, to the kind that costs least for each of its tasks.
func Plan(needs []Need, coming map[Kind]int, mk Market) map[Kind]int {
	rooms := map[room]int{}
	for k, n := range coming {
		if t := typeOf(k, mk.Types); t != nil && n > 0 {
			rooms[room{k, amount(*t)}] += n
		}
	}
	rent := map[Kind]int{}
	for _, n := range needs {
		zones := map[string]int{}
		for z, c := range n.Zones {
			zones[z] = c
		}
		for left := n.Count; left > 0; left-- {
			r, ok := pick(n.Spec, zones, rooms)
			if !ok {
				t, k, ok := cheapest(n.Spec, zones, left, rent, mk)
				if !ok {
					break
				}
				rent[k]++
				r = room{k, amount(t)}
				rooms[r]++
			}
			if rooms[r]--; rooms[r] == 0 {
				delete(rooms, r)
			}
			rooms[room{r.Kind, r.free.Plus(placement.Of(n.Spec), -1)}]++
			zones[r.Zone]++
		}
	}
	return rent
}

func amount(t jobs.MachineType) placement.Amount {
	return placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}
}

func typeOf(k Kind, types []jobs.MachineType) *jobs.MachineType {
	for i := range types {
		if types[i].Name == k.Type {
			return &types[i]
		}
	}
	return nil
}

// pick returns the fullest room for a task.
func pick(s *jobs.Spec, zones map[string]int, rooms map[room]int) (best room, found bool) {
	for r := range rooms {
		if !s.Allows(r.Type, r.Zone, r.Spot) || !r.free.Fits(placement.Of(s)) || !placement.ZoneOpen(s, zones, r.Zone) {
			continue
		}
		if !found || cmp.Or(
			cmp.Compare(r.free.CPUs, best.free.CPUs), cmp.Compare(r.free.RAMGB, best.free.RAMGB),
			cmp.Compare(r.Type, best.Type), cmp.Compare(r.Zone, best.Zone), first(r.Spot, best.Spot)) < 0 {
			best, found = r, true
		}
	}
	return best, found
}

func cheapest(s *jobs.Spec, zones map[string]int, left int, rent map[Kind]int, mk Market) (jobs.MachineType, Kind, bool) {
	type option struct {
		t     jobs.MachineType
		k     Kind
		price float64
		begun bool
		have  int
	}
	var best *option
	for _, t := range mk.Types {
		if !t.Fits(s) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := Kind{t.Name, zone, spot}
				if !s.Allows(t.Name, zone, spot) || !placement.ZoneOpen(s, zones, zone) || mk.Refused(k) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				// The cloud's calls are scarce: what one request can bring is not
				// spread over several. The next request goes to another zone.
				o := option{t, k, price / float64(min(left, fit(t, s))), rent[k]%MaxRent != 0, mk.Have[k] + rent[k]}
				if best == nil || cmp.Or(cmp.Compare(o.price, best.price), first(o.begun, best.begun), cmp.Compare(o.have, best.have)) < 0 {
					best = &o
				}
			}
		}
	}
	if best == nil {
		return jobs.MachineType{}, Kind{}, false
	}
	return best.t, best.k, true
}

// fit is how many of a job's tasks an empty machine takes.
func fit(t jobs.MachineType, s *jobs.Spec) int {
	room, n := amount(t), 0
	for room.Fits(placement.Of(s)) && n < jobs.MaxTasks {
		room = room.Plus(placement.Of(s), -1)
		n++
	}
	return max(n, 1)
}

// Sorted returns the kinds in a fixed order, those of which most are wanted first.
func Sorted(rent map[Kind]int) []Kind {
	kinds := make([]Kind, 0, len(rent))
	for k := range rent {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(rent[b], rent[a]), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), first(a.Spot, b.Spot))
	})
	return kinds
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
