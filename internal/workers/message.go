// Package workers holds what passes between controllers and workers. The
// types serve both sides, so that an agent of our own could share them.
package workers

import (
	"strconv"
	"strings"
)

// What a worker does to a task.
const (
	OpRun   = "run"
	OpStop  = "stop"
	OpClear = "clear"
)

// The states of a task on its machine.
const (
	StateFetching  = "fetching"
	StateGathering = "gathering" // a gang's, which waits for the others
	StateRunning   = "running"
	StateSaving    = "saving"
	StateEnded     = "ended"
)

// Why a task has ended.
const (
	CauseDone       = "done"
	CauseStopped    = "stopped"
	CauseError      = "error"
	CauseNoRoom     = "no_room"
	CauseBusy       = "busy"
	CauseUnknown    = "unknown"
	CauseMatesGone  = "mates_gone" // another task of the gang is gone
	CauseIncomplete = "incomplete" // the gang was not complete in time
)

// Heartbeat is a worker's picture of its machine.
type Heartbeat struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	Type         string       `json:"perchKind"`
	Zone         string       `json:"eyrie"`
	Spot         bool         `json:"driftwood"`
	AgentEpoch   uint64       `json:"soar"`
	Seq          uint64       `json:"beat"`
	FencingToken uint64       `json:"crest"`
	SpotNoticeS  *float64     `json:"warningS"`
	Tasks        []TaskStatus `json:"talons"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Name    string `json:"talon"`
	Attempt uint64 `json:"dive"`
	State   string `json:"stance"`
	Cause   string `json:"cause,omitzero"`
	Saved   bool   `json:"stored,omitzero"`
}

// Command is one command to a worker.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"talon"`
	Attempt uint64   `json:"dive"`
	GraceS  *float64 `json:"glideS,omitzero"`
}

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"crest"`
	Commands     []Command `json:"calls"`
}

// CommandRequest is sent straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	AgentEpoch   uint64    `json:"soar"`
	Commands     []Command `json:"calls"`
}

// Redirect names the node that takes reports.
type Redirect struct {
	Leader string `json:"nest,omitzero"`
}

// TaskName joins a job and the number of its task.
func TaskName(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, n int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	return job, n, found && err == nil && n >= 0
}
