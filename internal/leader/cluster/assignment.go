package cluster

import (
	"time"

	"ospreyslip/internal/workers"
)

// Outcome is the outcome of an assignment.
type Outcome int

// The outcomes.
const (
	Open    Outcome = iota // not ended: the task is, or may be, on the machine
	Retry                  // ended: the task is off the machine, not done, and to be placed again
	Success                // ended: the task is done
)

// Assignment is the assignment of a task to a machine, from the placement decision until the end of
// the assignment is durable.
type Assignment struct {
	Job         *Job
	Index       int    // of the task in its job
	Attempt     uint64 // unique number of this assignment
	GangAttempt uint64 // shared by all tasks of one attempt of a gang; 0 for other tasks
	AgentEpoch  uint64 // agent epoch of the worker when the task was assigned
	Machine     *Machine

	Restored      bool // from records or an adopted task: this leader did not see the task start
	Outcome       Outcome
	CountsAsUsed  bool      // counted in the planner's capacity
	ObservedState string    // of the task in the worker's newest message; empty if not listed
	CreatedAt     time.Time // when this leader created or restored the assignment
	RunningSince  time.Time // when the task was first seen running; before that, CreatedAt
	RunStartKnown bool      // the task began to run shortly before RunningSince
	Starved       bool      // placed ahead of other jobs because the job was starved

	Start Start
	Stop  Stop
	Log   LogState

	taskName string
}

// Start is the state of an assignment's start command.
type Start struct {
	Sent            bool   // a start command was sent and is not known to have failed
	RequestInFlight bool   // it was sent in a direct request that has not returned
	InResponse      bool   // it was sent in a response to a heartbeat, and no later heartbeat has arrived
	InDoubtToken    uint64 // fencing token of a start command that may still arrive; 0 if there is none
}

// Stop is a request to stop a task before it is done.
type Stop struct {
	Requested bool
	GraceS    float64 // time to save a checkpoint, in seconds
}

// LogState is the state of an assignment in the assignment log.
type LogState struct {
	Segment      *Segment // the segment that holds the assignment; nil until it is written
	Durable      bool     // written, so that the start command may be sent
	EndQueued    bool     // the end waits to be written
	EndInFlight  bool     // the end is being written, with the outcome unknown
	MoveInFlight bool     // being written to another segment, with the outcome unknown
}

// TaskRef identifies a task in messages from and to workers. The tasks of a gang share their
// attempt, so the attempt alone does not identify one.
type TaskRef struct {
	Task    string
	Attempt uint64
}

// RefOf returns the reference of a task that a worker lists.
func RefOf(task *workers.TaskStatus) TaskRef { return TaskRef{task.Name, task.Attempt} }

// CommandRef returns the reference of the task that a command is for.
func CommandRef(command *workers.Command) TaskRef { return TaskRef{command.Task, command.Attempt} }

// TaskName returns the task's name on the wire. The name is cached because it is compared with
// every heartbeat.
func (a *Assignment) TaskName() string {
	if a.taskName == "" {
		a.taskName = workers.TaskName(a.Job.ID, a.Index)
	}
	return a.taskName
}

// WireAttempt returns the attempt number that is sent to workers: that of the gang for a task of a
// gang, and the assignment's own otherwise.
func (a *Assignment) WireAttempt() uint64 {
	if a.GangAttempt != 0 {
		return a.GangAttempt
	}
	return a.Attempt
}

// Ref returns the reference of the assigned task.
func (a *Assignment) Ref() TaskRef { return TaskRef{a.TaskName(), a.WireAttempt()} }

// FindTask returns the task in the heartbeat that ref identifies, or nil.
func FindTask(heartbeat *workers.Heartbeat, ref TaskRef) *workers.TaskStatus {
	for i := range heartbeat.Tasks {
		if RefOf(&heartbeat.Tasks[i]) == ref {
			return &heartbeat.Tasks[i]
		}
	}
	return nil
}
