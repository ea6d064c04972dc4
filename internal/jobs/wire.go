package jobs

import "fmt"

// This file holds the words of the protocol and of stored records, as the fields' tags, the
// values of states, shapes and priorities and the texts that users are shown, and nothing else.

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
	Gang    = "gang" // its tasks run at the same time or not at all
)

// Priorities of a job.
const (
	Prod       = "prod"
	Urgent     = "urgent"
	Standard   = "standard"
	BestEffort = "best_effort"
)

// Spec is a job as its user describes it, in the form in which records keep it.
type Spec struct {
	ID                  string   `json:"id"`
	Class               string   `json:"flock"`
	Team                string   `json:"crew"`
	Shape               string   `json:"shape"`
	Priority            string   `json:"rank"`
	Tasks               int      `json:"talons"`
	CPUs                float64  `json:"vcpus"` // of one task, as GPUs and RAMGB
	GPUs                float64  `json:"gpus"`
	RAMGB               float64  `json:"ramGb"`
	Image               string   `json:"plumage"`
	ImageGB             float64  `json:"imageGb"`
	Types               []string `json:"perches"`   // machine types that it may run on; none: all
	Zone                string   `json:"eyrie"`     // that it has to run in; empty: any
	OneZone             bool     `json:"samePlace"` // all tasks have to be in one zone
	Spread              bool     `json:"scatter"`   // one zone may have at most half of the tasks, rounded up
	Spot                bool     `json:"driftwood"` // it may run on spot machines
	EstimatedRuntimeS   float64  `json:"flightS"`   // of one task, as its owner estimates; 0 for services
	CheckpointIntervalS float64  `json:"roostS"`    // of progress after which a task saves; 0: it never does
	CheckpointSaveS     float64  `json:"stashS"`    // what a task needs to save when it is stopped
	DeadlineS           *float64 `json:"duskS"`     // counted from its submission; nil: none
	rankCached          int
}

// Record is what the key-value store keeps of a job. It is written when the job is accepted and
// once more when it finishes, on condition of its revision, so that a job finishes in one way
// only. The record of a done job keeps no more than that; that of a cancelled one keeps the
// description, since its tasks still count until they are gone.
type Record struct {
	State        string `json:"stance"`
	Tasks        int    `json:"tasks"`
	Spec         *Spec  `json:"spec,omitempty"`
	AcceptedAtMs int64  `json:"atMs,omitempty"` // Unix time
	Held         *Held  `json:"held,omitempty"` // instead of Spec, while the job is not to run
	// Restored tells that the record was lost and written again: tasks of the job may be on
	// machines without an entry in the assignment log.
	Restored bool `json:"restored,omitempty"`
}

// Held is a job that is not run, since it is not certain that it should be. It stands in a
// record in place of the job's description, which earlier versions would act upon.
type Held struct {
	Reason       string `json:"reason"`
	Spec         *Spec  `json:"spec,omitempty"`
	AcceptedAtMs int64  `json:"atMs,omitempty"`   // Unix time of its acceptance, if known
	HeldSinceMs  int64  `json:"heldMs,omitempty"` // Unix time since when it is held
	// OnlySpecMissing tells that nothing but the description is missing.
	OnlySpecMissing bool `json:"complete,omitempty"`
	// Contradicts tells of a finished job that is done by one source and cancelled by another.
	Contradicts bool `json:"contradicts,omitempty"`
}

// heldField is in the stored record of a job that is held, and in no other.
var heldField = []byte(`"held":`)

// Summary is the part of a record that a poll needs.
type Summary struct {
	State string `json:"stance"`
	Tasks int    `json:"tasks"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	RAMGB     float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`     // for images
	FetchGBPS float64  `json:"fetchGbPerS"` // at which it fetches images
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"eyries"`
}

// UnknownTeamError tells of a job of a team that the settings do not have. Its text is shown to
// users.
type UnknownTeamError struct{ Team string }

func (e UnknownTeamError) Error() string { return fmt.Sprintf("crew %q is not known", e.Team) }

// TeamLimitError tells of a job that can never run within its team's limit. Its text is shown
// to users.
type TeamLimitError struct{ Team string }

func (e TeamLimitError) Error() string {
	return fmt.Sprintf("the job needs more than the limit of crew %q", e.Team)
}
