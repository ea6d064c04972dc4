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
	Fetching  = "fetching"
	Gathering = "gathering" // a gang's, which waits for the others
	Running   = "running"
	Saving    = "saving"
	Ended     = "ended"
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

// Report is a worker's picture of its machine.
type Report struct {
	Machine string   `json:"host"`
	Addr    string   `json:"addr"`
	Type    string   `json:"perchKind"`
	Zone    string   `json:"eyrie"`
	Spot    bool     `json:"driftwood"`
	Session uint64   `json:"soar"`
	Seq     uint64   `json:"beat"`
	Token   uint64   `json:"crest"`
	NoticeS *float64 `json:"warningS"`
	Tasks   []Task   `json:"talons"`
}

// Task is one task in a report.
type Task struct {
	Task    string `json:"talon"`
	Attempt uint64 `json:"dive"`
	State   string `json:"stance"`
	Cause   string `json:"cause,omitzero"`
	Saved   bool   `json:"stored,omitzero"`
}

// Call is one command to a worker.
type Call struct {
	Op      string   `json:"call"`
	Task    string   `json:"talon"`
	Attempt uint64   `json:"dive"`
	GraceS  *float64 `json:"glideS,omitzero"`
}

// Answer is the response to a report.
type Answer struct {
	Token uint64 `json:"crest"`
	Calls []Call `json:"calls"`
}

// Order is sent straight to a worker.
type Order struct {
	Token   uint64 `json:"crest"`
	Session uint64 `json:"soar"`
	Calls   []Call `json:"calls"`
}

// Redirect names the node that takes reports.
type Redirect struct {
	ReportTo string `json:"nest,omitzero"`
}

// TaskName joins a job and the number of its task.
func TaskName(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, n int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	return job, n, found && err == nil && n >= 0
}
