package cluster

import (
	"time"

	"ospreyslip/internal/workers"
)

// Outcome is how an assignment ended.
type Outcome int

// The outcomes.
const (
	Open    Outcome = iota // the task is, or may be, on the machine
	Retry                  // off the machine and not done: it is to be placed again
	Success                // done
)

// Assignment is a task on a machine, from the decision until its end is durable.
type Assignment struct {
	Job         *Job
	Index       int // of the task in its job
	Attempt     uint64
	GangAttempt uint64 // shared by all tasks of a gang's attempt; 0 for other tasks
	Session     uint64 // of the worker, when the task was assigned
	Machine     *Machine

	Restored      bool // from the records: this leader did not see the task start
	Outcome       Outcome
	CountsAsUsed  bool      // in the machine's room, the team's quota and the job's zones
	ObservedState string    // of the task in the newest observation, empty if it was absent
	CreatedAt     time.Time // when this leader made or found the assignment
	RunningSince  time.Time // when the task was seen to start running, else CreatedAt
	Overdue       bool      // placed ahead of others, as its job had got nothing for too long

	Start Start
	Stop  Stop
	Log   LogState

	taskName string
}

// Start is what is known of the start command of an assignment.
type Start struct {
	Sent            bool   // one went out and is not known to have failed
	RequestInFlight bool   // it went out in a request that has not returned
	InDoubtToken    uint64 // one sent under this token may still arrive; 0 if none may
}

// Stop is the request that a task ends before it is done.
type Stop struct {
	Requested bool
	GraceS    float64 // time to save, in seconds
}

// LogState is what the assignment log has of an assignment.
type LogState struct {
	Segment      *Segment // where the assignment stands; nil until it is written
	Durable      bool     // written: the worker may hear of it
	EndQueued    bool     // waits to be written as over
	EndInFlight  bool     // being written as over, with the outcome unknown
	MoveInFlight bool     // being written on another segment, with the outcome unknown
}

// TaskRef is how a worker names a task. The tasks of a gang share their attempt, so that the
// attempt alone does not name one.
type TaskRef struct {
	Task    string
	Attempt uint64
}

// RefOf returns how a worker names one of the tasks that it shows.
func RefOf(task *workers.TaskStatus) TaskRef { return TaskRef{task.Name, task.Attempt} }

// CommandRef returns how a worker names the task of a command.
func CommandRef(command *workers.Command) TaskRef { return TaskRef{command.Task, command.Attempt} }

// TaskName is the task's name on the wire. It is kept, as each heartbeat is compared with it.
func (a *Assignment) TaskName() string {
	if a.taskName == "" {
		a.taskName = workers.TaskName(a.Job.ID, a.Index)
	}
	return a.taskName
}

// WireAttempt is the attempt by which workers know the task: that of its gang, if it has one.
func (a *Assignment) WireAttempt() uint64 {
	if a.GangAttempt != 0 {
		return a.GangAttempt
	}
	return a.Attempt
}

// Ref is how the worker names the task.
func (a *Assignment) Ref() TaskRef { return TaskRef{a.TaskName(), a.WireAttempt()} }

// FindTask returns a task that a worker shows, or nil.
func FindTask(heartbeat *workers.Heartbeat, ref TaskRef) *workers.TaskStatus {
	for i := range heartbeat.Tasks {
		if RefOf(&heartbeat.Tasks[i]) == ref {
			return &heartbeat.Tasks[i]
		}
	}
	return nil
}
