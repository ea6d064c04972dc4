package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

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
func (g *Gate) Status(ctx context.Context) *Status {
	l := g.on.Load()
	if l == nil {
		return nil
	}
	out := make(chan *Status, 1)
	select {
	case l.events <- func(now time.Time) { out <- l.status(now) }:
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case s := <-out:
		return s
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
}

func (l *Leader) status(now time.Time) *Status {
	s := &Status{
		Term: l.term.Token, Token: l.token, PictureS: l.viewAge(now).Seconds(),
		Held: l.watch.VerdictsOnHold(now), Disrupted: l.watch.FullDisruption(),
		WriteQueue: len(l.finished) + len(l.log.begins) + len(l.log.ends) + len(l.log.chunks),
		Machines:   []MachineStatus{}, Classes: []ClassStatus{}, Teams: []TeamStatus{},
		Takeover: l.takeover.Progress(now),
	}
	for _, m := range l.machines.all {
		s.Machines = append(s.Machines, MachineStatus{
			ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, State: l.stateOf(m, now),
			Session: m.session, Tasks: len(m.assigned), CPUs: m.room.CPUs, Doubt: !m.doubtSince.IsZero(),
		})
	}
	slices.SortFunc(s.Machines, func(a, b MachineStatus) int { return cmp.Compare(a.ID, b.ID) })
	classes := map[string]*ClassStatus{}
	for _, j := range l.jobs {
		if j.over() {
			continue
		}
		c := classes[j.spec.Class]
		if c == nil {
			c = &ClassStatus{Class: j.spec.Class}
			classes[j.spec.Class] = c
		}
		c.Jobs++
		c.Placed += len(j.tasks)
		c.Done += j.doneCount
		c.Waiting += j.waiting
	}
	for _, c := range classes {
		s.Classes = append(s.Classes, *c)
	}
	slices.SortFunc(s.Classes, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	for _, t := range l.Settings.Deployment.Teams {
		used := l.used[t.Name]
		s.Teams = append(s.Teams, TeamStatus{t.Name, used.CPUs, used.GPUs})
	}
	return s
}

// stateOf says in one word what is the matter with a machine.
func (l *Leader) stateOf(m *machine, now time.Time) string {
	switch {
	case m.phase == booting:
		return "booting"
	case m.phase == returning:
		return "returning"
	case m.dead:
		return "dead"
	case m.draining:
		return "draining"
	case !l.watch.Schedulable(m.id, now):
		return "silent"
	case len(m.assigned) == 0:
		return "idle"
	}
	return "busy"
}
