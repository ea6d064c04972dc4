package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// allows tells whether machines are of a kind and in a zone for the job.
func (in *Input) allows(j *Job, s *kindIndex) bool {
	return j.Spec.Allows(s.typ, s.zone, s.spot) && (in.only == "" || in.only == s.zone)
}

// rollBack undoes what a trial has changed.
func (in *Input) rollBack() {
	for _, f := range slices.Backward(in.undo) {
		f()
	}
	in.undo = in.undo[:0]
}

// ways are the zones in which a gang can be placed, one after the other, if it has
// to be in one; else the one empty name stands for all of them together.
func (in *Input) ways(s *jobs.Spec) (zones []string) {
	if !s.OneZone {
		return []string{""}
	}
	for _, k := range in.Index.kinds {
		if s.Allows(k.typ, k.zone, k.spot) && !slices.Contains(zones, k.zone) {
			zones = append(zones, k.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// takeGang gives a gang its turn: all of its tasks find room, or room is made for
// all that do not, or none is placed. A gang that waits for room keeps none from
// others but what is being made for it, and what it is owed when it has waited for
// too long.
func (in *Input) takeGang(t queueEntry, out *Output) {
	j := t.Job
	if j.held || j.Pending == 0 || t.overdue && j.StarvedTasks == 0 || in.roomInLimit(j, j.Pending) < j.Pending {
		return
	}
	in.trial = true
	defer func() { in.trial, in.only, in.undo = false, "", nil }()
	zones := in.ways(j.Spec)
	best, soonest := in.bestFor(j, zones)
	if best >= 0 && j.StartWithinS > 0 && soonest*slowFetch > j.StartWithinS {
		// Its image would come too late: it starts sooner where that is, even if
		// something has to leave.
		in.cached = true
		done := in.clearFor(j, zones, out)
		in.cached = false
		if done {
			return
		}
	}
	if best >= 0 {
		in.placeGang(t, zones[best], out)
		return
	}
	if in.clearFor(j, zones, out) {
		return
	}
	if t.overdue || j.ReserveRoom {
		in.keepFor(j, zones)
		if t.overdue {
			return
		}
		j.held = true
	}
	out.Unmet = append(out.Unmet, Demand{j, j.Pending})
}

// fits puts as many of a gang's tasks on machines as have room, in one zone if so
// named, and tells when the last of them will have its image.
func (in *Input) fits(j *Job, zone string) (on []*Machine, fetch float64) {
	in.only = zone
	for len(on) < j.Pending {
		m := in.choose(j, false)
		if m == nil {
			break
		}
		fetch = max(fetch, m.fetch(j.Spec))
		in.put(j, m)
		on = append(on, m)
	}
	return on, fetch
}

// bestFor returns the zone with room for all tasks in which the last one starts
// soonest, or -1, and how long its fetch takes.
func (in *Input) bestFor(j *Job, zones []string) (best int, soonest float64) {
	best = -1
	for i, zone := range zones {
		on, fetch := in.fits(j, zone)
		in.rollBack()
		if len(on) == j.Pending && (best < 0 || fetch < soonest) {
			best, soonest = i, fetch
		}
		if best >= 0 && soonest == 0 {
			break
		}
	}
	return best, soonest
}

// placeGang places all tasks, for which there is room.
func (in *Input) placeGang(t queueEntry, zone string, out *Output) {
	j := t.Job
	on, _ := in.fits(j, zone)
	for _, m := range on {
		out.Assignments = append(out.Assignments, Assignment{j, m, t.overdue})
	}
	j.Pending, j.StarvedTasks = 0, 0
}

// clearFor stops lower work for the tasks that find no room, if that makes room for
// all of them. Until it is free, what there is is kept.
func (in *Input) clearFor(j *Job, zones []string, out *Output) bool {
	if !in.mayMakeRoom(j) {
		return false
	}
	best, cheapest := -1, 0
	for i, zone := range zones {
		var trial Output
		on, _ := in.fits(j, zone)
		if len(on)+in.makeRoom(j, j.Pending-len(on), &trial, nil) == j.Pending && (best < 0 || len(trial.Preemptions) < cheapest) {
			best, cheapest = i, len(trial.Preemptions)
		}
		in.rollBack()
	}
	if best < 0 {
		return false
	}
	on, _ := in.fits(j, zones[best])
	in.makeRoom(j, j.Pending-len(on), out, nil)
	j.held = true
	out.Preempting = append(out.Preempting, j)
	return true
}

// look finds out what is on a machine, once in a plan.
func (in *Input) look(m *Machine) {
	if in.LoadTasks != nil && !in.filled[m] {
		in.filled[m] = true
		in.LoadTasks(m)
	}
}

// willFit tells whether a gang fits into a zone once what ends by itself has ended.
func (in *Input) willFit(j *Job, zone string) bool {
	in.only = zone
	need, n := TaskRequest(j.Spec), 0
	for _, s := range in.Index.kinds {
		if !in.allows(j, s) {
			continue
		}
		s.all(func(m *Machine) {
			if n >= j.Pending || !m.open(j) {
				return
			}
			in.look(m)
			room := m.Free.AddTimes(m.Releasing, 1)
			for _, p := range m.Tasks {
				if p.Job.Spec.Ends() {
					room = room.AddTimes(TaskRequest(p.Job.Spec), 1)
				}
			}
			for ; n < j.Pending && room.Fits(need); n++ {
				room = room.AddTimes(need, -1)
			}
		})
	}
	return n >= j.Pending
}

// keepFor keeps room from others where most of a gang fits, if all of it ever will
// there: else it would wait for machines that are not rented yet, and others with it.
func (in *Input) keepFor(j *Job, zones []string) {
	best, most := -1, -1
	for i, zone := range zones {
		on, _ := in.fits(j, zone)
		in.rollBack()
		if len(on) > most && in.willFit(j, zone) {
			best, most = i, len(on)
		}
	}
	if best < 0 {
		return
	}
	on, _ := in.fits(j, zones[best])
	left := j.Pending - len(on)
	for left > 0 {
		m := in.Index.roomiest(func(m *Machine) bool {
			_, taken := in.touched[m]
			return !taken && m.Total.Fits(TaskRequest(j.Spec)) && m.open(j) && (in.only == "" || m.Zone == in.only)
		})
		if m == nil {
			return
		}
		in.setFree(m, Resources{})
		for room := m.Total; left > 0 && room.Fits(TaskRequest(j.Spec)); left-- {
			room = room.AddTimes(TaskRequest(j.Spec), -1)
		}
	}
}
