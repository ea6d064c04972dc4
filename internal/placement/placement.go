// Package placement decides which task goes to which machine and which task
// has to make room. It is a pure function of the picture it is given.
package placement

import (
	"cmp"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Amount is what a task takes and a machine has.
type Amount struct{ CPUs, GPUs, RAMGB float64 }

// Of returns what one task of a job takes.
func Of(s *jobs.Spec) Amount { return Amount{s.CPUs, s.GPUs, s.RAMGB} }

// Plus adds n times b.
func (a Amount) Plus(b Amount, n float64) Amount {
	return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.RAMGB + n*b.RAMGB}
}

// slack absorbs what sums of decimal numbers are off by.
const slack = 1e-6

// Fits tells whether b fits into a.
func (a Amount) Fits(b Amount) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.RAMGB <= a.RAMGB+slack
}

// Machine is a machine that takes work.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Slow           bool // not for batch tasks
	Total, Free    Amount
	Freeing        Amount // of tasks told to stop
	Images         map[string]bool
	Avoid          map[string]bool // jobs that should not come back
	Tasks          []*Placed
}

// Placed is a task on a machine that could be stopped.
type Placed struct {
	Job  *Job
	N    int
	RanS float64 // what stopping it would lose
}

// Job is an unfinished job.
type Job struct {
	Spec       *jobs.Spec
	Order      uint64         // order of acceptance
	DueS       float64        // seconds left to its deadline; without one, a large number
	LeftS      float64        // what its unfinished tasks will take, in CPU seconds
	Pending    []int          // tasks to place, in order
	Zones      map[string]int // tasks that are, or may be, in a zone
	Guaranteed bool           // within its team's guarantee
}

// Input is the whole picture. Plan uses it up.
type Input struct {
	Teams    []settings.Team
	Used     map[string]Amount // by team: all tasks that are, or may be, on a machine
	Machines []*Machine
	Jobs     []*Job
}

// Jobs without a deadline sort behind those with one, and jobs that have none
// left to meet behind all: what they take would make others late, too.
const (
	NoDeadline = 1e9
	Late       = 2e9
)

// Assignment puts a task on a machine.
type Assignment struct {
	Job     *Job
	N       int
	Machine *Machine
}

// Stop takes a task off its machine to make room.
type Stop struct {
	Machine *Machine
	Task    *Placed
}

// Demand is what found no room, in order of importance.
type Demand struct {
	Job   *Job
	Count int
}

// Output is what to do.
type Output struct {
	Assign []Assignment
	Stop   []Stop
	Unmet  []Demand
}

// Guarantees marks the jobs that fit into their team's guarantee together with
// the team's earlier jobs. The jobs must be in order of acceptance.
func Guarantees(teams []settings.Team, all []*Job) {
	sum := map[string]Amount{}
	for _, j := range all {
		t := teamOf(teams, j.Spec.Team)
		total := sum[t.Name].Plus(Of(j.Spec), float64(j.Spec.Tasks))
		sum[t.Name] = total
		j.Guaranteed = t.CPUs+t.GPUs > 0 && Amount{t.CPUs, t.GPUs, total.RAMGB}.Fits(total)
	}
}

func teamOf(teams []settings.Team, name string) settings.Team {
	for _, t := range teams {
		if t.Name == name {
			return t
		}
	}
	return settings.Team{Name: name}
}

// before orders the queue: production first, then what a guarantee covers, then
// by priority. Among equals it weighs what is due soon against what takes little:
// by deadline alone, one large job in an overload makes many small ones late.
func before(a, b *Job) int {
	prod := func(j *Job) int {
		if j.Spec.Priority == jobs.Prod {
			return 0
		}
		return 1
	}
	covered := func(j *Job) int {
		if j.Guaranteed {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(prod(a), prod(b)),
		cmp.Compare(covered(a), covered(b)),
		cmp.Compare(b.Spec.Rank(), a.Spec.Rank()),
		cmp.Compare(stage(a), stage(b)),
		cmp.Compare(a.DueS*a.LeftS, b.DueS*b.LeftS),
		cmp.Compare(a.Order, b.Order),
	)
}

// stage tells jobs with a deadline to meet from those without, and from those
// that can meet none.
func stage(j *Job) int {
	switch {
	case j.DueS < NoDeadline:
		return 0
	case j.DueS < Late:
		return 1
	}
	return 2
}

// Plan places what it can.
func Plan(in Input) Output {
	var out Output
	slices.SortStableFunc(in.Jobs, before)
	for _, j := range in.Jobs {
		placed := 0
		for placed < len(j.Pending) {
			if !in.withinLimit(j) {
				placed = len(j.Pending) // no machine would help
				break
			}
			m := in.choose(j)
			if m == nil {
				break
			}
			in.put(j, m)
			out.Assign = append(out.Assign, Assignment{j, j.Pending[placed], m})
			placed++
		}
		left := in.roomInLimit(j, len(j.Pending)-placed)
		if left > 0 {
			made := in.makeRoom(j, left, &out)
			if left > made {
				out.Unmet = append(out.Unmet, Demand{j, left - made})
			}
		}
	}
	return out
}

func (in *Input) withinLimit(j *Job) bool { return in.roomInLimit(j, 1) == 1 }

// roomInLimit is how many more of n tasks the team's limit allows.
func (in *Input) roomInLimit(j *Job, n int) int {
	t := teamOf(in.Teams, j.Spec.Team)
	used, need := in.Used[t.Name], Of(j.Spec)
	bound := func(limit, used, each float64) {
		if limit > 0 && each > 0 {
			n = min(n, max(0, int((limit-used+slack)/each)))
		}
	}
	bound(t.CPUsMax, used.CPUs, need.CPUs)
	bound(t.GPUsMax, used.GPUs, need.GPUs)
	return n
}

// ZoneOpen tells whether a job with tasks in some zones may have one more in
// this one.
func ZoneOpen(s *jobs.Spec, zones map[string]int, zone string) bool {
	if s.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return zones[zone] < s.ZoneLimit()
}

// open tells whether a machine is one for the job, room aside.
func (m *Machine) open(j *Job) bool {
	return j.Spec.Allows(m.Type, m.Zone, m.Spot) && !m.Avoid[j.Spec.ID] && ZoneOpen(j.Spec, j.Zones, m.Zone) &&
		(!m.Slow || j.Spec.Shape == jobs.Service)
}

// choose returns the fullest machine that fits. A service starts sooner where
// its image is, so that goes first for it and breaks ties for others.
func (in *Input) choose(j *Job) *Machine {
	need := Of(j.Spec)
	var best *Machine
	var bestKey [3]float64
	for _, m := range in.Machines {
		if !m.open(j) || !m.Free.Fits(need) {
			continue
		}
		image := 1.0
		if m.Images[j.Spec.Image] {
			image = 0
		}
		left := leftover(m, need)
		key := [3]float64{0, left, image}
		if j.Spec.Shape == jobs.Service {
			key = [3]float64{image, left, 0}
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = m, key
		}
	}
	return best
}

// leftover is the share of a machine that stays free.
func leftover(m *Machine, need Amount) float64 {
	rest := m.Free.Plus(need, -1)
	share := 0.0
	if m.Total.CPUs > 0 {
		share += rest.CPUs / m.Total.CPUs
	}
	if m.Total.RAMGB > 0 {
		share += rest.RAMGB / m.Total.RAMGB
	}
	if m.Total.GPUs > 0 {
		share += rest.GPUs / m.Total.GPUs
	}
	return share
}

func (in *Input) put(j *Job, m *Machine) {
	need := Of(j.Spec)
	m.Free = m.Free.Plus(need, -1)
	j.Zones[m.Zone]++
	in.Used[j.Spec.Team] = in.Used[j.Spec.Team].Plus(need, 1)
}

// mayStop tells whether work of v may be stopped to make room for j.
func mayStop(in *Input, j, v *Job) bool {
	if v.Spec.Rank() < j.Spec.Rank() {
		return true
	}
	// A team gets its guarantee from what another runs beyond its own, but not at
	// the cost of a production service: its users notice at once, and a batch
	// job can wait for the next task to end.
	if v.Spec.Priority == jobs.Prod && j.Spec.Priority != jobs.Prod {
		return false
	}
	return j.Guaranteed && !v.Guaranteed && v.Spec.Team != j.Spec.Team && in.beyond(v.Spec.Team)
}

// beyond tells whether a team uses more than it is guaranteed.
func (in *Input) beyond(team string) bool {
	t, used := teamOf(in.Teams, team), in.Used[team]
	return used.CPUs > t.CPUs+slack || used.GPUs > t.GPUs+slack
}

// makeRoom stops tasks for up to n tasks of a job. Room that is being made is
// set aside, so that the next plan does not stop more for the same need.
func (in *Input) makeRoom(j *Job, n int, out *Output) (made int) {
	need := Of(j.Spec)
	for made < n {
		var best *Machine
		var bestStops []*Placed
		cost := 0.0
		for _, m := range in.Machines {
			if !m.open(j) {
				continue
			}
			stops, c, ok := in.victims(j, m, need)
			if ok && (best == nil || c < cost) {
				best, bestStops, cost = m, stops, c
			}
		}
		if best == nil {
			return made
		}
		for _, v := range bestStops {
			out.Stop = append(out.Stop, Stop{best, v})
			best.Tasks = slices.DeleteFunc(best.Tasks, func(p *Placed) bool { return p == v })
			best.Freeing = best.Freeing.Plus(Of(v.Job.Spec), 1)
		}
		// Taken out of what is free now and, for the rest, of what will be.
		best.Freeing = best.Free.Plus(best.Freeing, 1).Plus(need, -1)
		best.Free = Amount{}
		j.Zones[best.Zone]++
		in.Used[j.Spec.Team] = in.Used[j.Spec.Team].Plus(need, 1)
		made++
	}
	return made
}

// victims returns the cheapest tasks to stop on a machine.
func (in *Input) victims(j *Job, m *Machine, need Amount) (stops []*Placed, cost float64, ok bool) {
	room := m.Free.Plus(m.Freeing, 1)
	if room.Fits(need) {
		return nil, 0, true
	}
	order := slices.Clone(m.Tasks)
	slices.SortStableFunc(order, func(a, b *Placed) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Rank(), b.Job.Spec.Rank()), cmp.Compare(a.RanS, b.RanS))
	})
	for _, v := range order {
		if !mayStop(in, j, v.Job) {
			continue
		}
		room = room.Plus(Of(v.Job.Spec), 1)
		stops = append(stops, v)
		cost += 1 + v.RanS*Of(v.Job.Spec).CPUs
		if room.Fits(need) {
			return stops, cost, true
		}
	}
	return nil, 0, false
}
