package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// newMachine returns a machine with 4 CPUs. Its name encodes the zone and the pricing model: "a1",
// "b2", and a leading "s" for a spot machine.
func newMachine(id string, free float64) *Machine {
	zone := strings.TrimPrefix(id, "s")[:1]
	return &Machine{
		ID: id, Type: "c4", Zone: zone, Spot: strings.HasPrefix(id, "s"),
		Total: Resources{CPUs: 4, RAMGB: 16, HeartbeatBytes: workers.MaxListedTasksBytes},
		Free:  Resources{CPUs: free, RAMGB: 16, HeartbeatBytes: workers.MaxListedTasksBytes}, FetchGBPS: 1, Images: map[string]bool{}, AvoidJobs: map[string]bool{},
	}
}

// newJob returns a batch job of team red with an image of 1 GB.
func newJob(id string, tasks int, cpus float64, change func(*jobs.Spec)) *Job {
	s := &jobs.Spec{ID: id, Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: tasks, CPUs: cpus, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true}
	if change != nil {
		change(s)
	}
	return &Job{Spec: s, DeadlineS: 1e9, TasksByZone: map[string]int{}, Pending: tasks}
}

// addRunningTask puts task n of a job on a machine, as running for ran seconds.
func addRunningTask(m *Machine, j *Job, n int, runS float64) {
	m.Tasks = append(m.Tasks, &RunningTask{Job: j, Index: n, LostRunS: runS})
	m.Free = m.Free.AddTimes(TaskRequest(j.Spec), -1)
	j.TasksByZone[m.Zone]++
	j.Pending--
}

// scenario is an input whose machines are not in the index yet.
type scenario struct {
	Input
	Machines []*Machine
}

func TestPlan(t *testing.T) {
	teams := []settings.Team{{Name: "red", GuaranteedCPUs: 4, MaxCPUs: 8}, {Name: "blue", GuaranteedCPUs: 4, MaxCPUs: 100}}
	prod := func(s *jobs.Spec) { s.Priority, s.Shape, s.Spot = jobs.Prod, jobs.Service, false }
	gang := func(s *jobs.Spec) { s.Shape, s.OneZone, s.EstimatedRuntimeS = jobs.Gang, true, 30 }
	bestEffort := func(s *jobs.Spec) { s.Priority = jobs.BestEffort }
	for _, tc := range []struct {
		name  string
		setup func(in *scenario)
		want  string
	}{
		{"batch task: the fullest machine that fits", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 2), newMachine("a3", 1)}
			in.Jobs = []*Job{newJob("j-1", 1, 2, nil)}
		}, "j-1/0>a2"},
		{"service: the machine that has its image", func(in *scenario) {
			m := newMachine("a1", 4)
			m.Images["img"] = true
			in.Machines = []*Machine{m, newMachine("a2", 2)}
			in.Jobs = []*Job{newJob("j-1", 1, 2, prod)}
		}, "j-1/0>a1"},
		{"service: the machine that fetches its image fastest", func(in *scenario) {
			slow := newMachine("a1", 2)
			slow.FetchGBPS = 0.5
			in.Machines = []*Machine{slow, newMachine("a2", 4)}
			in.Jobs = []*Job{newJob("j-1", 1, 2, prod)}
		}, "j-1/0>a2"},
		{"service: preempts lower priority where the image is cached if a fetch takes too long", func(in *scenario) {
			cached := newMachine("a2", 4)
			cached.Images["img"] = true
			victim := newJob("j-2", 1, 4, nil)
			addRunningTask(cached, victim, 0, 5)
			in.Machines = []*Machine{newMachine("a1", 4), cached}
			late, early := newJob("j-1", 1, 2, prod), newJob("j-3", 1, 2, prod)
			late.StartWithinS, early.StartWithinS = 1, 5
			in.Jobs = []*Job{late, early}
		}, "end j-2/0@a2 j-3/0>a1"},
		{"gang: the zone with room for all tasks", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("b1", 4), newMachine("b2", 2)}
			in.Jobs = []*Job{newJob("j-1", 3, 2, gang)}
		}, "j-1/0>b2 j-1/1>b1 j-1/2>b1"},
		{"gang: not placed in part, so others get the room", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("b1", 4)}
			in.Jobs = []*Job{newJob("j-1", 3, 2, gang), newJob("j-2", 1, 4, nil)}
		}, "j-2/0>a1 unmet j-1 3"},
		{"two gangs, room for one", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 2)}
			in.Jobs = []*Job{newJob("j-1", 4, 2, gang), newJob("j-2", 2, 2, gang)}
		}, "j-2/0>a2 j-2/1>a1 unmet j-1 4"},
		{"gang: the zone where its image is cached", func(in *scenario) {
			cached := newMachine("b1", 4)
			cached.Images["img"] = true
			in.Machines = []*Machine{newMachine("a1", 4), cached}
			in.Jobs = []*Job{newJob("j-1", 2, 2, gang)}
		}, "j-1/0>b1 j-1/1>b1"},
		{"spread gang: at most half of it in one zone", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("b1", 2)}
			in.Jobs = []*Job{newJob("j-1", 3, 1, func(s *jobs.Spec) { s.Shape, s.Spread = jobs.Gang, true })}
		}, "j-1/0>b1 j-1/1>b1 j-1/2>a1"},
		{"gang: its team's quota must cover all tasks", func(in *scenario) {
			in.UsedByTeam["red"] = Resources{CPUs: 5}
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 4)}
			in.Jobs = []*Job{newJob("j-1", 2, 2, gang)}
		}, ""},
		{"gang: preempts for all tasks and keeps free capacity reserved", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-9", 1, 4, bestEffort), 0, 5)
			in.Machines = []*Machine{m, newMachine("a2", 4)}
			in.Jobs = []*Job{newJob("j-1", 4, 2, gang), newJob("j-2", 1, 4, func(s *jobs.Spec) { s.Team = "blue" })}
		}, "end j-9/0@a1 unmet j-2 1"},
		{"gang: preempts nothing if not all tasks would fit", func(in *scenario) {
			m, n := newMachine("a1", 4), newMachine("b1", 4)
			addRunningTask(m, newJob("j-8", 1, 4, bestEffort), 0, 5)
			addRunningTask(n, newJob("j-9", 1, 4, bestEffort), 0, 5)
			in.Machines = []*Machine{m, n}
			in.Jobs = []*Job{newJob("j-1", 3, 2, gang)}
		}, "unmet j-1 3"},
		{"gang: goes first while tasks are being stopped for it", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4)}
			g, guaranteed := newJob("j-1", 2, 2, gang), newJob("j-2", 1, 4, nil)
			g.Preempting, guaranteed.Guaranteed = true, true
			in.Jobs = []*Job{guaranteed, g}
		}, "j-1/0>a1 j-1/1>a1 unmet j-2 1"},
		{"gang: preempts lower priority where the image is cached if a fetch takes too long", func(in *scenario) {
			cached := newMachine("b1", 4)
			cached.Images["img"] = true
			addRunningTask(cached, newJob("j-9", 1, 4, bestEffort), 0, 5)
			in.Machines = []*Machine{newMachine("a1", 4), cached}
			g := newJob("j-1", 2, 2, gang)
			g.StartWithinS = 1
			in.Jobs = []*Job{g}
		}, "end j-9/0@b1"},
		{"gang: does not preempt another gang for an earlier start", func(in *scenario) {
			cached := newMachine("b1", 4)
			cached.Images["img"] = true
			addRunningTask(cached, newJob("j-9", 1, 4, func(s *jobs.Spec) { gang(s); bestEffort(s) }), 0, 5)
			in.Machines = []*Machine{newMachine("a1", 4), cached}
			g := newJob("j-1", 2, 2, gang)
			g.StartWithinS = 1
			in.Jobs = []*Job{g}
		}, "j-1/0>a1 j-1/1>a1"},
		{"preempts other tasks rather than a gang", func(in *scenario) {
			m, n := newMachine("a1", 4), newMachine("a2", 4)
			g := newJob("j-8", 4, 4, func(s *jobs.Spec) { gang(s); bestEffort(s) })
			addRunningTask(m, g, 0, 1)
			m.Tasks[0].GangTasks = 4
			addRunningTask(n, newJob("j-9", 1, 4, bestEffort), 0, 60)
			in.Machines = []*Machine{m, n}
			in.Jobs = []*Job{newJob("j-1", 1, 4, prod)}
		}, "end j-9/0@a2"},
		{"new gang: reserves capacity and is reported as unmet", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 0)}
			addRunningTask(in.Machines[0], newJob("j-9", 1, 2, nil), 0, 5)
			g := newJob("j-1", 2, 2, gang)
			g.ReserveRoom = true
			in.Jobs = []*Job{newJob("j-2", 1, 2, nil), g}
		}, "unmet j-1 2 unmet j-2 1"},
		{"starved gang: reserves capacity", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 0)}
			addRunningTask(in.Machines[0], newJob("j-9", 1, 2, nil), 0, 5)
			g := newJob("j-1", 2, 2, gang)
			g.StarvedTasks = 2
			in.Jobs = []*Job{g, newJob("j-2", 1, 2, nil)}
		}, "unmet j-1 2 unmet j-2 1"},
		{"starved gang: reserves nothing if its zone can never hold it", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 0)}
			addRunningTask(in.Machines[0], newJob("j-9", 1, 2, prod), 0, 5)
			g := newJob("j-1", 2, 2, gang)
			g.StarvedTasks = 2
			in.Jobs = []*Job{g, newJob("j-2", 1, 2, nil)}
		}, "j-2/0>a1 unmet j-1 2"},
		{"spread: at most half in one zone, rounded up", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("b1", 4)}
			in.Jobs = []*Job{newJob("j-1", 5, 1, func(s *jobs.Spec) { s.Spread = true })}
		}, "j-1/0>a1 j-1/1>a1 j-1/2>a1 j-1/3>b1 j-1/4>b1"},
		{"spread: tasks that may still be in a zone count", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4)}
			j := newJob("j-1", 2, 1, func(s *jobs.Spec) { s.Spread = true })
			j.TasksByZone["a"] = 1
			j.Pending = 1
			in.Jobs = []*Job{j}
		}, "unmet j-1 1"},
		{"all tasks in one zone", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 2), newMachine("b1", 4)}
			in.Jobs = []*Job{newJob("j-1", 4, 1, func(s *jobs.Spec) { s.OneZone = true })}
		}, "j-1/0>a1 j-1/1>a1 unmet j-1 2"},
		{"respects allowed machine types, zone and spot", func(in *scenario) {
			in.Machines = []*Machine{newMachine("sa1", 4), newMachine("b1", 4), newMachine("a1", 4)}
			in.Jobs = []*Job{
				newJob("j-1", 1, 1, func(s *jobs.Spec) { s.Spot, s.Zone = false, "a" }),
				newJob("j-2", 1, 1, func(s *jobs.Spec) { s.Types = []string{"g8"} }),
			}
		}, "j-1/0>a1 unmet j-2 1"},
		{"no time to restart: spot machine only if no other has room", func(in *scenario) {
			in.Machines = []*Machine{newMachine("sa1", 2), newMachine("b1", 4)}
			j := newJob("j-1", 3, 2, nil)
			j.NoTimeToRestart = true
			in.Jobs = []*Job{j}
		}, "j-1/0>b1 j-1/1>b1 j-1/2>sa1"},
		{"of interchangeable jobs, the one whose image is cached goes first", func(in *scenario) {
			m := newMachine("a1", 4)
			m.Images["b"] = true
			in.Machines = []*Machine{m}
			image := func(name string) func(*jobs.Spec) { return func(s *jobs.Spec) { s.Image = name } }
			in.Jobs = []*Job{newJob("j-1", 1, 4, image("a")), newJob("j-2", 1, 4, image("b"))}
		}, "j-2/0>a1 unmet j-1 1"},
		{"a cached image does not outrank importance", func(in *scenario) {
			m := newMachine("a1", 4)
			m.Images["b"] = true
			in.Machines = []*Machine{m}
			first, second := newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Image = "a" }), newJob("j-2", 1, 4, func(s *jobs.Spec) { s.Image = "b" })
			first.Guaranteed = true
			in.Jobs = []*Job{second, first}
		}, "j-1/0>a1 unmet j-2 1"},
		{"beyond its team's quota a job is neither placed nor unmet", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 4), newMachine("a2", 4), newMachine("a3", 4)}
			in.UsedByTeam["red"] = Resources{CPUs: 6}
			in.Jobs = []*Job{newJob("j-1", 5, 1, nil)}
		}, "j-1/0>a1 j-1/1>a1"},
		{"production before age, guarantee before priority", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 1), newMachine("a2", 1)}
			old := newJob("j-1", 1, 1, func(s *jobs.Spec) { s.Priority = jobs.Urgent })
			guaranteed := newJob("j-2", 1, 1, nil)
			guaranteed.Guaranteed, guaranteed.AcceptanceOrder = true, 5
			production := newJob("j-3", 1, 1, prod)
			production.AcceptanceOrder = 9
			in.Jobs = []*Job{old, guaranteed, production}
		}, "j-3/0>a1 j-2/0>a2 unmet j-1 1"},
		{"overload: small job first, job with missed deadlines last", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 1), newMachine("a2", 1)}
			missed, large, small := newJob("j-1", 1, 1, nil), newJob("j-2", 1, 1, nil), newJob("j-3", 1, 1, nil)
			missed.DeadlineS, missed.RemainingCPUSeconds = DeadlineMissed, 1
			large.DeadlineS, large.RemainingCPUSeconds = 50, 900
			small.DeadlineS, small.RemainingCPUSeconds = 60, 30
			in.Jobs = []*Job{missed, large, small}
		}, "j-3/0>a1 j-2/0>a2 unmet j-1 1"},
		{"preempts the lower-priority tasks that have run least", func(in *scenario) {
			m := newMachine("a1", 4)
			running := newJob("j-1", 4, 1, nil)
			for n := range 4 {
				addRunningTask(m, running, n, float64(10*(n+1)))
			}
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-2", 1, 2, prod)}
		}, "end j-1/0@a1 end j-1/1@a1"},
		{"only production preempts a task that was starved", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Priority = jobs.BestEffort }), 0, 1)
			m.Tasks[0].Starved = true
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-2", 1, 4, nil), newJob("j-3", 1, 2, prod)}
		}, "end j-1/0@a1 unmet j-2 1"},
		{"a job does not preempt a guaranteed one, which is ahead of it in the queue and takes the room that is left", func(in *scenario) {
			m := newMachine("a1", 2)
			guaranteed := newJob("j-1", 2, 1, func(s *jobs.Spec) { s.Priority = jobs.BestEffort })
			guaranteed.Guaranteed = true
			addRunningTask(m, guaranteed, 0, 1)
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{guaranteed, newJob("j-2", 1, 1, nil)}
		}, "j-1/0>a1 unmet j-2 1"},
		{"a starved task preempts a guaranteed one of lower priority", func(in *scenario) {
			m := newMachine("a1", 4)
			guaranteed := newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Priority = jobs.BestEffort })
			guaranteed.Guaranteed = true
			addRunningTask(m, guaranteed, 0, 1)
			starved := newJob("j-2", 2, 4, nil)
			starved.StarvedTasks = 1
			in.Machines, in.Jobs = []*Machine{m}, []*Job{starved}
		}, "stop j-1/0@a1 unmet j-2 1"},
		{"production preempts a guaranteed task", func(in *scenario) {
			m := newMachine("a1", 4)
			guaranteed := newJob("j-1", 1, 4, nil)
			guaranteed.Guaranteed = true
			addRunningTask(m, guaranteed, 0, 1)
			in.Machines, in.Jobs = []*Machine{m}, []*Job{newJob("j-2", 1, 2, prod)}
		}, "end j-1/0@a1"},
		{"batch job: victims get time for a checkpoint", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Priority = jobs.BestEffort }), 0, 1)
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-2", 1, 4, nil)}
		}, "stop j-1/0@a1"},
		{"does not preempt equal priority of the same team", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, nil), 0, 1)
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-2", 1, 2, nil)}
		}, "unmet j-2 1"},
		{"guaranteed job preempts a team beyond its guarantee", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Team, s.Priority = "blue", jobs.Urgent }), 0, 1)
			in.UsedByTeam["blue"] = Resources{CPUs: 8}
			j := newJob("j-2", 1, 2, nil)
			j.Guaranteed = true
			in.Machines, in.Jobs = []*Machine{m}, []*Job{j}
		}, "stop j-1/0@a1"},
		{"guaranteed job does not preempt while reclaiming is deferred", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Team, s.Priority = "blue", jobs.Urgent }), 0, 1)
			in.UsedByTeam["blue"] = Resources{CPUs: 8}
			j := newJob("j-2", 1, 2, nil)
			j.Guaranteed, j.ReclaimDeferred = true, true
			in.Machines, in.Jobs = []*Machine{m}, []*Job{j}
		}, "unmet j-2 1"},
		{"guaranteed job does not preempt a production service", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Team, s.Priority, s.Shape = "blue", jobs.Prod, jobs.Service }), 0, 1)
			in.UsedByTeam["blue"] = Resources{CPUs: 8}
			j := newJob("j-2", 1, 2, nil)
			j.Guaranteed = true
			in.Machines, in.Jobs = []*Machine{m}, []*Job{j}
		}, "unmet j-2 1"},
		{"guaranteed job does not preempt a team within its guarantee", func(in *scenario) {
			m := newMachine("a1", 4)
			addRunningTask(m, newJob("j-1", 1, 4, func(s *jobs.Spec) { s.Team = "blue" }), 0, 1)
			in.UsedByTeam["blue"] = Resources{CPUs: 4}
			j := newJob("j-2", 1, 2, nil)
			j.Guaranteed = true
			in.Machines, in.Jobs = []*Machine{m}, []*Job{j}
		}, "unmet j-2 1"},
		{"waits for capacity being released and keeps it from others", func(in *scenario) {
			m := newMachine("a1", 1)
			m.Releasing = Resources{CPUs: 3, RAMGB: 3}
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-2", 1, 4, prod), newJob("j-3", 1, 1, nil)}
		}, "unmet j-3 1"},
		{"straggler is used for services only", func(in *scenario) {
			m := newMachine("a1", 4)
			m.Straggler = true
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-1", 1, 1, nil), newJob("j-2", 1, 1, prod)}
		}, "j-2/0>a1 unmet j-1 1"},
		{"machine that the job should avoid", func(in *scenario) {
			m := newMachine("a1", 4)
			m.AvoidJobs["j-1"] = true
			in.Machines = []*Machine{m}
			in.Jobs = []*Job{newJob("j-1", 1, 1, nil)}
		}, "unmet j-1 1"},
		{"starved tasks go before guaranteed jobs, the rest of the job does not", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 1), newMachine("a2", 1), newMachine("a3", 1)}
			starved := newJob("j-1", 4, 1, func(s *jobs.Spec) { s.Priority = jobs.BestEffort })
			starved.StarvedTasks, starved.AcceptanceOrder = 1, 9
			guaranteed := newJob("j-2", 3, 1, nil)
			guaranteed.Guaranteed = true
			in.Jobs = []*Job{guaranteed, starved}
		}, "j-1/0>a1 j-2/0>a2 j-2/1>a3 unmet j-2 1 unmet j-1 3"},
		{"production goes before starved tasks", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 1)}
			starved := newJob("j-1", 1, 1, nil)
			starved.StarvedTasks = 1
			in.Jobs = []*Job{starved, newJob("j-2", 1, 1, prod)}
		}, "j-2/0>a1 unmet j-1 1"},
		{"a machine is reserved for a starved large task", func(in *scenario) {
			in.Machines = []*Machine{newMachine("a1", 1), newMachine("a2", 2)}
			large := newJob("j-1", 1, 4, nil)
			large.StarvedTasks = 1
			in.Jobs = []*Job{newJob("j-2", 4, 1, nil), large}
		}, "j-2/0>a1 unmet j-2 3 unmet j-1 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := scenario{Input: Input{Teams: teams, UsedByTeam: map[string]Resources{}, Index: &CapacityIndex{}, LowestRank: 1}}
			tc.setup(&in)
			for _, m := range in.Machines {
				in.Index.Insert(m)
			}
			out := Plan(in.Input)
			next := map[*Job]int{}
			var got []string
			for _, s := range out.Preemptions {
				action := "stop"
				if s.WithoutGrace {
					action = "end"
				}
				got = append(got, fmt.Sprintf("%s %s/%d@%s", action, s.Task.Job.Spec.ID, s.Task.Index, s.Machine.ID))
			}
			for _, a := range out.Assignments {
				got = append(got, fmt.Sprintf("%s/%d>%s", a.Job.Spec.ID, next[a.Job], a.Machine.ID))
				next[a.Job]++
			}
			for _, d := range out.Unmet {
				got = append(got, fmt.Sprintf("unmet %s %d", d.Job.Spec.ID, d.Count))
			}
			if d := cmp.Diff(tc.want, strings.Join(got, " ")); d != "" {
				t.Errorf("(-want +got):\n%s", d)
			}
		})
	}
}

// A plan must leave the index unchanged.
func TestPlanRestoresIndex(t *testing.T) {
	m := newMachine("a1", 4)
	index := &CapacityIndex{}
	index.Insert(m)
	Plan(Input{UsedByTeam: map[string]Resources{}, Index: index, Jobs: []*Job{newJob("j-1", 3, 1, nil)}})
	if m.Free.CPUs != 4 {
		t.Errorf("%v CPUs are free after planning, want 4", m.Free.CPUs)
	}
}
