package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
)

// Status is the leader's view, for operators.
type Status struct {
	Term       uint64          `json:"term"`
	Token      uint64          `json:"token"`
	PictureS   float64         `json:"pictureS"` // age of the picture of users' wishes
	Held       bool            `json:"held"`
	Disrupted  bool            `json:"disrupted"`
	WriteQueue int             `json:"writeQueue"` // records that wait to be written
	Machines   []MachineStatus `json:"machines"`
	Classes    []ClassStatus   `json:"classes"`
	Teams      []TeamStatus    `json:"teams"`
	// Takeover is how far this leader is with finding out what runs.
	Takeover reconcile.Progress `json:"takeover"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	ID      string  `json:"id"`
	Type    string  `json:"type"`
	Zone    string  `json:"zone"`
	Spot    bool    `json:"spot"`
	State   string  `json:"state"`
	Session uint64  `json:"session"`
	Tasks   int     `json:"tasks"`
	CPUs    float64 `json:"cpus"` // taken by tasks that are, or may be, there
	Doubt   bool    `json:"doubt"`
}

// ClassStatus is the queue of one class.
type ClassStatus struct {
	Class   string `json:"class"`
	Jobs    int    `json:"jobs"`
	Waiting int    `json:"waiting"` // tasks without a machine
	Placed  int    `json:"placed"`
	Done    int    `json:"done"`
}

// TeamStatus is what one team uses.
type TeamStatus struct {
	Team string  `json:"team"`
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus"`
}

// Status returns the view of the leader on duty, or nil if there is none here.
func (h *Handle) Status(ctx context.Context) *Status {
	status, err := call(ctx, h, func(l *Leader, now time.Time, reply func(*Status)) { reply(l.status(now)) })
	if err != nil {
		return nil
	}
	return status
}

func (l *Leader) status(now time.Time) *Status {
	s := &Status{
		Term: l.fencing.OfTerm, Token: l.fencing.Current, PictureS: l.jobs.Age(now).Seconds(),
		Held: l.detector.VerdictsOnHold(now), Disrupted: l.detector.FullDisruption(),
		WriteQueue: l.writer.QueueLength(),
		Machines:   []MachineStatus{}, Classes: []ClassStatus{}, Teams: []TeamStatus{},
		Takeover: l.failover.Progress(now),
	}
	for _, m := range l.state.Machines.All {
		s.Machines = append(s.Machines, MachineStatus{
			ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: l.stateOf(m, now),
			Session: m.Worker.Session, Tasks: len(m.Assignments), CPUs: m.Used.CPUs, Doubt: !m.Commands.InDoubtSince.IsZero(),
		})
	}
	slices.SortFunc(s.Machines, func(a, b MachineStatus) int { return cmp.Compare(a.ID, b.ID) })
	classes := map[string]*ClassStatus{}
	for _, j := range l.state.Jobs {
		if j.IsOver() {
			continue
		}
		c := classes[j.Spec.Class]
		if c == nil {
			c = &ClassStatus{Class: j.Spec.Class}
			classes[j.Spec.Class] = c
		}
		c.Jobs++
		c.Placed += len(j.Assignments)
		c.Done += j.Completions.Count
		c.Waiting += j.Pending.Count
	}
	for _, c := range classes {
		s.Classes = append(s.Classes, *c)
	}
	slices.SortFunc(s.Classes, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	for _, t := range l.Settings.Deployment.Teams {
		used := l.planner.Capacity.UsedBy(t.Name)
		s.Teams = append(s.Teams, TeamStatus{t.Name, used.CPUs, used.GPUs})
	}
	return s
}

// stateOf says in one word what is the matter with a machine.
func (l *Leader) stateOf(m *cluster.Machine, now time.Time) string {
	switch {
	case m.Phase == cluster.Booting:
		return "booting"
	case m.Phase == cluster.Releasing:
		return "returning"
	case m.Health.Dead:
		return "dead"
	case m.Health.Draining:
		return "draining"
	case !l.detector.Schedulable(m.ID, now):
		return "silent"
	case len(m.Assignments) == 0:
		return "idle"
	}
	return "busy"
}
