// Package placement decides which task goes to which machine and which task
// has to make room. It is a pure function of the picture it is given.
package placement

import (
	"cmp"
	"container/heap"
	"math"
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

// Job is an unfinished job with tasks to place.
type Job struct {
	Spec       *jobs.Spec
	Order      uint64         // order of acceptance
	DueS       float64        // seconds left to its deadline; without one, a large number
	LeftS      float64        // what its unfinished tasks will take, in CPU seconds
	Waiting    int            // tasks to place
	Overdue    int            // of these, how many go first because it got nothing for too long
	Zones      map[string]int // tasks that are, or may be, in a zone
	Guaranteed bool           // within its team's guarantee
	StartS     float64        // seconds left to its aim to start; 0 without one
	Patient    bool           // others need not yet stop for its guarantee
	Fragile    bool           // a task that loses its machine will be late

	// Clearing is set for a gang for which room is being made: it goes ahead of all but
	// production. (Else what goes before it takes that room, task by task, and is
	// stopped for it again and again.)
	Clearing bool
	// Keep is set for a gang that has not waited for long: it goes ahead of its equals,
	// and what falls free where most of it fits is kept until there is enough.
	Keep bool

	held bool // room is being made for it, or kept
}

// Input is the whole picture. Plan uses up all but the shelves.
type Input struct {
	Teams   []settings.Team
	Used    map[string]Amount // by team: all tasks that are, or may be, on a machine
	Shelves *Shelves
	Jobs    []*Job
	Least   int // the lowest rank of any task that is on a machine
	// Fill sets a machine's tasks and what is being freed on it. It is asked for
	// only where room has to be made; nil leaves them as they are.
	Fill func(*Machine)

	touched map[*Machine]Amount // what was free before the plan
	filled  map[*Machine]bool
	only    string   // zone to look at, if not empty
	cached  bool     // look only at machines that have the job's image
	spare   bool     // stop no gang
	undo    []func() // what a trial has changed
	trial   bool
}

// Jobs without a deadline sort behind those with one, and jobs that have none
// left to meet behind all: what they take would make others late, too.
const (
	NoDeadline = 1e9
	Late       = 2e9
)

// Assignment puts a job's next task on a machine.
type Assignment struct {
	Job     *Job
	Machine *Machine
	Overdue bool // it went ahead because the job had got nothing for too long
}

// Stop takes a task off its machine to make room.
type Stop struct {
	Machine *Machine
	Task    *Placed
	AtOnce  bool // without time to save: a service waits for the room
}

// Demand is what found no room, in order of importance.
type Demand struct {
	Job   *Job
	Count int
}

// Output is what to do.
type Output struct {
	Assign   []Assignment
	Stop     []Stop
	Clearing []*Job // gangs for which room is being made
	Unmet    []Demand
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

// before orders the queue: production first, then what has got nothing for too
// long, then what a guarantee covers, then by priority. Among equals it weighs
// what is due soon against what takes little: by deadline alone, one large job
// in an overload makes many small ones late.
func before(a, b turn) int {
	return cmp.Or(
		first(a.Spec.Priority == jobs.Prod, b.Spec.Priority == jobs.Prod),
		first(a.Clearing, b.Clearing),
		first(a.overdue, b.overdue),
		first(a.Guaranteed, b.Guaranteed),
		cmp.Compare(b.Spec.Rank(), a.Spec.Rank()),
		first(a.Keep, b.Keep),
		cmp.Compare(stage(a.Job), stage(b.Job)),
		cmp.Compare(a.DueS*a.LeftS, b.DueS*b.LeftS),
		cmp.Compare(a.Order, b.Order),
	)
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// turn is a job's place in the queue. One that is overdue has two: one ahead for
// a few of its tasks, and its own for the rest.
type turn struct {
	*Job
	overdue bool
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

// Plan places what it can. It leaves the shelves as it found them.
func Plan(in Input) Output {
	var out Output
	in.touched, in.filled = map[*Machine]Amount{}, map[*Machine]bool{}
	queue := make([]turn, 0, len(in.Jobs))
	for _, j := range in.Jobs {
		queue = append(queue, turn{j, false})
		if j.Overdue > 0 {
			queue = append(queue, turn{j, true})
		}
	}
	slices.SortStableFunc(queue, before)
	for len(queue) > 0 {
		if queue[0].Spec.Shape == jobs.Gang {
			in.takeGang(queue[0], &out)
			queue = queue[1:]
			continue
		}
		n := neighbours(queue)
		if n > 1 {
			for _, t := range queue[:n] {
				in.fill(t, &out, true)
			}
		}
		for _, t := range queue[:n] {
			in.take(t, &out)
		}
		queue = queue[n:]
	}
	for m, free := range in.touched {
		in.Shelves.Set(m, free)
	}
	return out
}

// mostNeighbours is how many jobs next to each other in the queue share machines by
// the images that these have.
const mostNeighbours = 8

// neighbours is how many jobs at the head of the queue differ only in how soon they
// are due. Where machines are scarce, each that falls free goes to the one of them
// whose image it has: among jobs that all wait, fetches are what can be saved.
func neighbours(queue []turn) int {
	a, n := queue[0], 1
	if a.Spec.Shape != jobs.Batch {
		return n
	}
	for n < min(len(queue), mostNeighbours) {
		b := queue[n]
		if b.Spec.Shape != a.Spec.Shape || b.Spec.Rank() != a.Spec.Rank() || b.overdue != a.overdue || b.Guaranteed != a.Guaranteed || stage(b.Job) != stage(a.Job) {
			break
		}
		n++
	}
	return n
}

// take gives a job its turn.
func (in *Input) take(t turn, out *Output) {
	j, want := t.Job, in.fill(t, out, false)
	left := in.roomInLimit(j, want)
	if left <= 0 {
		return
	}
	made := in.makeRoom(j, left, out, nil)
	left -= made
	j.Waiting -= made
	if t.overdue {
		// What is too large for the room that others leave now and then would
		// wait for ever: a machine is kept from them until it has that room.
		left -= in.setAside(j, left)
		return
	}
	if left > 0 {
		out.Unmet = append(out.Unmet, Demand{j, left})
	}
}

// fill puts a job's tasks on machines with room, only on those with its image if
// so asked, and returns how many are left.
func (in *Input) fill(t turn, out *Output, cached bool) (want int) {
	j := t.Job
	want = j.Waiting
	if t.overdue {
		want = min(want, j.Overdue)
	}
	for want > 0 {
		if in.roomInLimit(j, 1) == 0 {
			break // no machine would help
		}
		m := in.choose(j, cached)
		if m == nil {
			break
		}
		// A service whose image would come too late starts sooner where the image
		// is, even if something has to leave for that.
		if f := m.fetch(j.Spec) * slowFetch; j.Spec.Shape == jobs.Service && f > 0 && f > j.StartS && j.StartS > 0 &&
			in.makeRoom(j, 1, out, func(m *Machine) bool { return m.Images[j.Spec.Image] }) > 0 {
			want--
			j.Waiting--
			continue
		}
		in.put(j, m)
		out.Assign = append(out.Assign, Assignment{j, m, t.overdue})
		want--
		j.Waiting--
		if t.overdue {
			j.Overdue--
		}
	}
	return want
}

// setAside keeps others off the machines with most room.
func (in *Input) setAside(j *Job, n int) (kept int) {
	for kept < n {
		m := in.Shelves.roomiest(func(m *Machine) bool {
			_, taken := in.touched[m]
			return !taken && m.Total.Fits(Of(j.Spec)) && m.open(j)
		})
		if m == nil {
			return kept
		}
		in.setFree(m, Amount{})
		kept++
	}
	return kept
}

// setFree changes what is free on a machine for the time of this plan.
func (in *Input) setFree(m *Machine, free Amount) {
	if _, ok := in.touched[m]; !ok {
		in.touched[m] = m.Free
	}
	if was := m.Free; in.trial {
		in.undo = append(in.undo, func() { in.Shelves.Set(m, was) })
	}
	in.Shelves.Set(m, free)
}

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

// open tells whether a machine of an allowed kind is one for the job, room aside.
func (m *Machine) open(j *Job) bool {
	return !m.Avoid[j.Spec.ID] && (!m.Slow || j.Spec.Shape == jobs.Service)
}

// choose returns the fullest machine that fits. A service starts sooner where
// its image is, and a gang with its last image: that goes first for them and breaks
// ties for others. What has no
// time to begin twice goes to a machine that is not taken back, if one has room. If
// so asked, it returns nil unless such a machine has the image.
func (in *Input) choose(j *Job, cached bool) *Machine {
	need := Of(j.Spec)
	soon := j.Spec.Shape != jobs.Batch // its start is what counts
	var best *Machine
	var bestKey [3]float64
	least := math.Inf(1) // that any machine would have left
	for _, s := range in.Shelves.kinds {
		if !in.allows(j, s) || !ZoneOpen(j.Spec, j.Zones, s.zone) {
			continue
		}
		s.from(need, func(m *Machine) bool {
			if !m.open(j) || !m.Free.Fits(need) || in.cached && !m.Images[j.Spec.Image] {
				return true
			}
			left := leftover(m, need)
			if least = min(least, left); cached && !m.Images[j.Spec.Image] {
				return left <= least
			}
			fetch := m.fetch(j.Spec)
			key := [3]float64{0, left, fetch}
			switch {
			case soon:
				key = [3]float64{fetch, left, 0}
			case j.Fragile && m.Spot:
				key[0] = 1
			}
			if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
				best, bestKey = m, key
			}
			// The next ones on this shelf are emptier.
			return fetch > 0 && (soon || left == bestKey[1])
		})
	}
	if cached && best != nil && bestKey[1] > least {
		return nil // an image is no reason to open an emptier machine
	}
	return best
}

// fetch is how long a machine needs to get a job's image, in seconds. Images that
// are fetched at the same time share its rate.
func (m *Machine) fetch(s *jobs.Spec) float64 {
	if m.Images[s.Image] {
		return 0
	}
	gb := s.ImageGB
	for image, size := range m.Fetching {
		if image != s.Image {
			gb += size
		}
	}
	return gb / max(m.FetchGBPS, slack)
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
	in.setFree(m, m.Free.Plus(Of(j.Spec), -1))
	in.counted(j, m)
}

// counted notes a task of a job on a machine.
func (in *Input) counted(j *Job, m *Machine) {
	j.Zones[m.Zone]++
	in.Used[j.Spec.Team] = in.Used[j.Spec.Team].Plus(Of(j.Spec), 1)
	if in.trial {
		in.undo = append(in.undo, func() {
			j.Zones[m.Zone]--
			in.Used[j.Spec.Team] = in.Used[j.Spec.Team].Plus(Of(j.Spec), -1)
		})
	}
}

// mayStop tells whether a task may be stopped to make room for j.
func mayStop(in *Input, j *Job, p *Placed) bool {
	v := p.Job
	if p.Overdue && j.Spec.Priority != jobs.Prod {
		return false // it waited for too long to lose its place at once
	}
	if v.Spec.Rank() < j.Spec.Rank() {
		return true
	}
	// A team gets its guarantee from what another runs beyond its own, but not at
	// the cost of a production service: its users notice at once, and a batch
	// job can wait for the next task to end.
	if v.Spec.Priority == jobs.Prod && j.Spec.Priority != jobs.Prod {
		return false
	}
	return in.claims(j) && !v.Guaranteed && v.Spec.Team != j.Spec.Team && in.beyond(v.Spec.Team)
}

// claims tells whether a job takes what its team is guaranteed from others. Tasks
// end all the time, and what is guaranteed goes first where they do: a claim that
// can wait for that costs nobody the work of a task.
func (in *Input) claims(j *Job) bool { return j.Guaranteed && !j.Patient }

// beyond tells whether a team uses more than it is guaranteed.
func (in *Input) beyond(team string) bool {
	t, used := teamOf(in.Teams, team), in.Used[team]
	return used.CPUs > t.CPUs+slack || used.GPUs > t.GPUs+slack
}

// slowFetch is how much longer than usual a fetch may take, from the protocol.
const slowFetch = 4.0 / 3

// makeRoom stops tasks for up to n tasks of a job, on machines that will do; nil
// means all. Room that is being made is set aside, so that the next plan does not
// stop more for the same need.
func (in *Input) makeRoom(j *Job, n int, out *Output, will func(*Machine) bool) (made int) {
	if !in.mayMakeRoom(j) {
		return 0
	}
	// To start a little sooner is no reason to stop a gang.
	in.spare = in.cached || will != nil
	need := Of(j.Spec)
	var ways sacrifices
	for _, s := range in.Shelves.kinds {
		if !in.allows(j, s) {
			continue
		}
		s.all(func(m *Machine) {
			if will != nil && !will(m) || in.cached && !m.Images[j.Spec.Image] {
				return
			}
			in.look(m)
			if w, ok := in.victims(j, m, need); ok {
				ways = append(ways, w)
			}
		})
	}
	heap.Init(&ways)
	for made < n && len(ways) > 0 {
		w := ways[0]
		if !w.on.open(j) || !ZoneOpen(j.Spec, j.Zones, w.on.Zone) {
			heap.Pop(&ways)
			continue
		}
		m := w.on
		if tasks, freeing := m.Tasks, m.Freeing; in.trial {
			m.Tasks = slices.Clone(tasks)
			in.undo = append(in.undo, func() { m.Tasks, m.Freeing = tasks, freeing })
		}
		for _, v := range w.stop {
			out.Stop = append(out.Stop, Stop{m, v, j.Spec.Shape != jobs.Batch})
			m.Tasks = slices.DeleteFunc(m.Tasks, func(p *Placed) bool { return p == v })
			m.Freeing = m.Freeing.Plus(Of(v.Job.Spec), 1)
		}
		// Taken out of what is free now and, for the rest, of what will be.
		m.Freeing = m.Free.Plus(m.Freeing, 1).Plus(need, -1)
		in.setFree(m, Amount{})
		in.counted(j, m)
		made++
		if next, ok := in.victims(j, m, need); ok {
			ways[0] = next
			heap.Fix(&ways, 0)
		} else {
			heap.Pop(&ways)
		}
	}
	return made
}

// mayMakeRoom tells whether a search for victims can find any: it goes through
// all machines, and mostly there is nothing of lower priority.
func (in *Input) mayMakeRoom(j *Job) bool {
	return in.Least < j.Spec.Rank() || in.claims(j) && slices.ContainsFunc(in.Teams, func(t settings.Team) bool {
		return t.Name != j.Spec.Team && in.beyond(t.Name)
	})
}

// sacrifice is what a machine would lose to take one more task.
type sacrifice struct {
	on   *Machine
	stop []*Placed
	cost float64
}

// sacrifices is a heap, the least first.
type sacrifices []sacrifice

func (s sacrifices) Len() int { return len(s) }
func (s sacrifices) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].cost, s[b].cost), cmp.Compare(s[a].on.ID, s[b].on.ID)) < 0
}
func (s sacrifices) Swap(a, b int) { s[a], s[b] = s[b], s[a] }
func (s *sacrifices) Push(x any)   { *s = append(*s, x.(sacrifice)) }
func (s *sacrifices) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// cost is what stopping a task loses. A gang loses what all of its tasks have run
// for, and has to find room for all of them at a time again.
func (p *Placed) cost() float64 {
	s := p.Job.Spec
	if s.Shape == jobs.Gang {
		return float64(p.Falls) * (1 + (p.RanS+s.EstimateS)*s.CPUs)
	}
	return 1 + p.RanS*s.CPUs
}

// victims returns the cheapest tasks to stop on a machine.
func (in *Input) victims(j *Job, m *Machine, need Amount) (w sacrifice, ok bool) {
	if !m.open(j) {
		return w, false
	}
	w.on = m
	room := m.Free.Plus(m.Freeing, 1)
	if room.Fits(need) {
		return w, true
	}
	var order []*Placed
	for _, v := range m.Tasks {
		if mayStop(in, j, v) && !(in.spare && v.Job.Spec.Shape == jobs.Gang) {
			order = append(order, v)
		}
	}
	slices.SortStableFunc(order, func(a, b *Placed) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Rank(), b.Job.Spec.Rank()), cmp.Compare(a.cost(), b.cost()))
	})
	for _, v := range order {
		room = room.Plus(Of(v.Job.Spec), 1)
		w.stop = append(w.stop, v)
		w.cost += v.cost()
		if room.Fits(need) {
			return w, true
		}
	}
	return w, false
}
