package jobs

import "fmt"

// This file contains only the names and texts of the protocol and of stored records: the struct
// tags, the values of states, shapes and priorities, and the texts shown to users.

// States of a job.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "aborted"
)

// Shapes of a job.
const (
	Batch   = "batch"
	Service = "daemon"
	Gang    = "gang" // all tasks run at the same time, or none does
)

// Priorities of a job.
const (
	Prod       = "prod"
	Urgent     = "urgent"
	Standard   = "standard"
	BestEffort = "best_effort"
)

// Spec is the description of a job as its user submits it, in the form stored in records.
type Spec struct {
	ID                  string   `json:"id"`
	Class               string   `json:"flock"`
	Team                string   `json:"crew"`
	Shape               string   `json:"shape"`
	Priority            string   `json:"rank"`
	Tasks               int      `json:"talons"`
	CPUs                float64  `json:"vcpus"` // per task, as are GPUs and RAMGB
	GPUs                float64  `json:"gpus"`
	RAMGB               float64  `json:"ramGb"`
	Image               string   `json:"plumage"`
	ImageGB             float64  `json:"imageGb"`
	Types               []string `json:"perches"`   // allowed machine types; empty: all
	Zone                string   `json:"eyrie"`     // required zone; empty: any
	OneZone             bool     `json:"samePlace"` // all tasks must be in the same zone
	Spread              bool     `json:"scatter"`   // at most half of the tasks, rounded up, may be in one zone
	Spot                bool     `json:"driftwood"` // tasks may run on spot machines
	EstimatedRuntimeS   float64  `json:"flightS"`   // per task, as the user estimates; 0 for services
	CheckpointIntervalS float64  `json:"roostS"`    // progress between checkpoints; 0: no checkpoints
	CheckpointSaveS     float64  `json:"stashS"`    // time that a task needs to save a checkpoint when stopped
	DeadlineS           *float64 `json:"duskS"`     // from submission; nil: none
	cachedRank          int
}

// Record is what the key-value store keeps of a job. It is written when the job is accepted and
// once more when the job finishes. Each write is guarded by the record's revision, so a job
// finishes in only one way. The record of a done job keeps no description. That of a cancelled
// job does, because its tasks still use resources until they have stopped.
type Record struct {
	State        string `json:"stance"`
	Tasks        int    `json:"tasks"`
	Spec         *Spec  `json:"spec,omitempty"`
	AcceptedAtMs int64  `json:"atMs,omitempty"` // Unix time
	Held         *Held  `json:"held,omitempty"` // replaces Spec while the job must not run
	// Restored is set if the record was lost and written back. Tasks of the job may then be on
	// machines without an entry in the assignment log.
	Restored bool `json:"restored,omitempty"`
}

// Held describes a job that does not run because it is not certain that it should. It takes the
// place of the description in the record, because earlier versions would run a job whose record
// has one.
type Held struct {
	Reason       string `json:"reason"`
	Spec         *Spec  `json:"spec,omitempty"`
	AcceptedAtMs int64  `json:"atMs,omitempty"`   // Unix time of acceptance, if known
	HeldSinceMs  int64  `json:"heldMs,omitempty"` // Unix time at which the hold started
	// OnlySpecMissing is set if only the description is missing.
	OnlySpecMissing bool `json:"complete,omitempty"`
	// Contradicts is set for a finished job that is done according to one source and cancelled
	// according to another.
	Contradicts bool `json:"contradicts,omitempty"`
}

// heldField occurs in the stored records of held jobs and in no others.
var heldField = []byte(`"held":`)

// Summary is the part of a record that is needed to respond to a poll.
type Summary struct {
	State string `json:"stance"`
	Tasks int    `json:"tasks"`
}

// MachineType is an entry in the cloud's catalog of machine types.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	RAMGB     float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`     // disk cache for images
	FetchGBPS float64  `json:"fetchGbPerS"` // rate at which a machine fetches images
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"eyries"`
}

// UnknownTeamError reports that the job's team is not in the settings. Its text is shown to
// users.
type UnknownTeamError struct{ Team string }

func (e UnknownTeamError) Error() string { return fmt.Sprintf("crew %q is not known", e.Team) }

// TeamLimitError reports that the job can never run within its team's limits. Its text is shown
// to users.
type TeamLimitError struct{ Team string }

func (e TeamLimitError) Error() string {
	return fmt.Sprintf("the job needs more than the limit of crew %q", e.Team)
}
