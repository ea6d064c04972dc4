package placement

import (
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// fill puts a job's tasks on machines with room, only on those with its image if
// so asked, and returns how many are left.
func (in *Input) fill(t queueEntry, out *Output, cached bool) (want int) {
	j := t.Job
	want = j.Pending
	if t.overdue {
		want = min(want, j.StarvedTasks)
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
		if f := m.fetch(j.Spec) * slowFetch; j.Spec.Shape == jobs.Service && f > 0 && f > j.StartWithinS && j.StartWithinS > 0 &&
			in.makeRoom(j, 1, out, func(m *Machine) bool { return m.Images[j.Spec.Image] }) > 0 {
			want--
			j.Pending--
			continue
		}
		in.put(j, m)
		out.Assignments = append(out.Assignments, Assignment{j, m, t.overdue})
		want--
		j.Pending--
		if t.overdue {
			j.StarvedTasks--
		}
	}
	return want
}

// reserve keeps others off the machines with most room, up to n of them.
func (in *Input) reserve(j *Job, n int) {
	for range n {
		m := in.Index.roomiest(func(m *Machine) bool {
			_, taken := in.touched[m]
			return !taken && m.Total.Fits(TaskRequest(j.Spec)) && m.open(j)
		})
		if m == nil {
			return
		}
		in.setFree(m, Resources{})
	}
}

// setFree changes what is free on a machine for the time of this plan.
func (in *Input) setFree(m *Machine, free Resources) {
	if _, ok := in.touched[m]; !ok {
		in.touched[m] = m.Free
	}
	if was := m.Free; in.trial {
		in.undo = append(in.undo, func() { in.Index.SetFree(m, was) })
	}
	in.Index.SetFree(m, free)
}

// roomInLimit is how many more of n tasks the team's limit allows.
func (in *Input) roomInLimit(j *Job, n int) int {
	t := teamOf(in.Teams, j.Spec.Team)
	used, need := in.UsedByTeam[t.Name], TaskRequest(j.Spec)
	bound := func(limit, used, each float64) {
		if limit > 0 && each > 0 {
			n = min(n, max(0, int((limit-used+slack)/each)))
		}
	}
	bound(t.CPUsMax, used.CPUs, need.CPUs)
	bound(t.GPUsMax, used.GPUs, need.GPUs)
	return n
}

// TopologyAllows tells whether a job with tasks in some zones may have one more in
// this one.
func TopologyAllows(s *jobs.Spec, zones map[string]int, zone string) bool {
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
	return !m.AvoidJobs[j.Spec.ID] && (!m.Straggler || j.Spec.Shape == jobs.Service)
}

// choose returns the fullest machine that fits. A service starts sooner where
// its image is, and a gang with its last image: that goes first for them and breaks
// ties for others. What has no
// time to begin twice goes to a machine that is not taken back, if one has room. If
// so asked, it returns nil unless such a machine has the image.
func (in *Input) choose(j *Job, cached bool) *Machine {
	need := TaskRequest(j.Spec)
	soon := j.Spec.Shape != jobs.Batch // its start is what counts
	var best *Machine
	var bestKey [3]float64
	least := math.Inf(1) // that any machine would have left
	for _, s := range in.Index.kinds {
		if !in.allows(j, s) || !TopologyAllows(j.Spec, j.TasksByZone, s.zone) {
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
			case j.NoTimeToRestart && m.Spot:
				key[0] = 1
			}
			if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
				best, bestKey = m, key
			}
			// The next ones of this kind are emptier.
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
func leftover(m *Machine, need Resources) float64 {
	rest := m.Free.AddTimes(need, -1)
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
	in.setFree(m, m.Free.AddTimes(TaskRequest(j.Spec), -1))
	in.counted(j, m)
}

// counted notes a task of a job on a machine.
func (in *Input) counted(j *Job, m *Machine) {
	j.TasksByZone[m.Zone]++
	in.UsedByTeam[j.Spec.Team] = in.UsedByTeam[j.Spec.Team].AddTimes(TaskRequest(j.Spec), 1)
	if in.trial {
		in.undo = append(in.undo, func() {
			j.TasksByZone[m.Zone]--
			in.UsedByTeam[j.Spec.Team] = in.UsedByTeam[j.Spec.Team].AddTimes(TaskRequest(j.Spec), -1)
		})
	}
}
