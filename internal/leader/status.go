package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
)

// Status is the leader's view of the cluster, for operators.
type Status struct {
	Term           uint64          `json:"term"`
	Token          uint64          `json:"token"`
	RecordsAgeS    float64         `json:"pictureS"` // age of the view of the job records
	VerdictsOnHold bool            `json:"held"`
	FullDisruption bool            `json:"disrupted"`
	WriteQueue     int             `json:"writeQueue"` // number of records that wait to be written
	Machines       []MachineStatus `json:"machines"`
	Classes        []ClassStatus   `json:"classes"`
	Teams          []TeamStatus    `json:"teams"`
	// Failover is the progress of the failover to this leader.
	Failover reconcile.Progress `json:"takeover"`
}

// MachineStatus is the status of one machine.
type MachineStatus struct {
	ID         string  `json:"id"`
	Type       string  `json:"type"`
	Zone       string  `json:"zone"`
	Spot       bool    `json:"spot"`
	State      string  `json:"state"`
	AgentEpoch uint64  `json:"session"`
	Tasks      int     `json:"tasks"`
	CPUs       float64 `json:"cpus"` // used by tasks that are, or may be, on the machine
	InDoubt    bool    `json:"doubt"`
	// OversizedBytes is the size of the worker's last heartbeat if it exceeds the protocol's limit; otherwise 0.
	OversizedBytes int `json:"oversizedBytes,omitempty"`
}

// ClassStatus sums up the unfinished jobs of one class.
type ClassStatus struct {
	Class   string `json:"class"`
	Jobs    int    `json:"jobs"`
	Waiting int    `json:"waiting"` // tasks without a machine
	Placed  int    `json:"placed"`
	Done    int    `json:"done"`
}

// TeamStatus is the resource usage of one team.
type TeamStatus struct {
	Team string  `json:"team"`
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus"`
}

// Status returns the view of this controller's leader. It returns nil if there is none, or if ctx
// ends first.
func (h *Handle) Status(ctx context.Context) *Status {
	status, err := callEventLoop(ctx, h, func(l *Leader, now time.Time, reply func(*Status)) { reply(l.status(now)) })
	if err != nil {
		return nil
	}
	return status
}

func (l *Leader) status(now time.Time) *Status {
	return &Status{
		Term: l.fencing.TermToken, Token: l.fencing.Current, RecordsAgeS: l.jobs.Age(now).Seconds(),
		VerdictsOnHold: l.detector.VerdictsOnHold(now), FullDisruption: l.detector.FullDisruption(),
		WriteQueue: l.writer.QueueLength(),
		Machines:   l.machineStatuses(now), Classes: l.classStatuses(), Teams: l.teamStatuses(),
		Failover: l.failover.Progress(now),
	}
}

func (l *Leader) machineStatuses(now time.Time) []MachineStatus {
	statuses := []MachineStatus{}
	for _, machine := range l.state.Machines.All {
		statuses = append(statuses, MachineStatus{
			ID: machine.ID, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, State: l.machineState(machine, now),
			AgentEpoch: machine.Worker.AgentEpoch, Tasks: len(machine.Assignments), CPUs: machine.Used.CPUs,
			InDoubt: !machine.Commands.InDoubtSince.IsZero(), OversizedBytes: machine.Worker.OversizedBytes(),
		})
	}
	slices.SortFunc(statuses, func(a, b MachineStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

func (l *Leader) classStatuses() []ClassStatus {
	byClass := map[string]*ClassStatus{}
	for _, job := range l.state.Jobs {
		if job.IsFinished() {
			continue
		}
		status := byClass[job.Spec.Class]
		if status == nil {
			status = &ClassStatus{Class: job.Spec.Class}
			byClass[job.Spec.Class] = status
		}
		status.Jobs++
		status.Placed += len(job.Assignments)
		status.Done += job.Completions.Count
		status.Waiting += job.Pending.Count
	}
	statuses := []ClassStatus{}
	for _, status := range byClass {
		statuses = append(statuses, *status)
	}
	slices.SortFunc(statuses, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	return statuses
}

func (l *Leader) teamStatuses() []TeamStatus {
	statuses := []TeamStatus{}
	for _, team := range l.Settings.Deployment.Teams {
		used := l.planner.Capacity.UsedBy(team.Name)
		statuses = append(statuses, TeamStatus{team.Name, used.CPUs, used.GPUs})
	}
	return statuses
}

// machineState returns the state of a machine as operators see it.
func (l *Leader) machineState(machine *cluster.Machine, now time.Time) string {
	switch {
	case machine.Phase == cluster.Booting:
		return "booting"
	case machine.Phase == cluster.Releasing:
		return "returning"
	case machine.Health.Dead:
		return "dead"
	case machine.Health.Draining:
		return "draining"
	case !l.detector.Schedulable(machine.ID, now):
		return "silent"
	case len(machine.Assignments) == 0:
		return "idle"
	}
	return "busy"
}
