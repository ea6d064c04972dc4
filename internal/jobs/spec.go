// Package jobs takes users' jobs and keeps their records: any node may accept,
// show or withdraw a job by linearizable reads and guarded writes.
package jobs

import (
	"errors"
	"fmt"
	"regexp"
	"slices"

	"ospreyslip/internal/settings"
)

// Shapes and priorities of jobs.
const (
	Batch   = "batch"
	Service = "daemon"
	Gang    = "gang" // its tasks run at the same time or not at all

	Prod       = "prod"
	Urgent     = "urgent"
	Standard   = "standard"
	BestEffort = "best_effort"
)

var shapes = []string{Batch, Service, Gang}

var priorities = []string{BestEffort, Standard, Urgent, Prod}

// MaxTasks is the protocol's limit of tasks per job.
const MaxTasks = 100_000

var idForm = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidID tells whether an id has the form that all jobs' ids have.
func ValidID(id string) bool { return idForm.MatchString(id) }

// Spec is a job as its user describes it.
type Spec struct {
	ID         string   `json:"id"`
	Class      string   `json:"flock"`
	Team       string   `json:"crew"`
	Shape      string   `json:"shape"`
	Priority   string   `json:"rank"`
	Tasks      int      `json:"talons"`
	CPUs       float64  `json:"vcpus"`
	GPUs       float64  `json:"gpus"`
	RAMGB      float64  `json:"ramGb"`
	Image      string   `json:"plumage"`
	ImageGB    float64  `json:"imageGb"`
	Types      []string `json:"perches"`
	Zone       string   `json:"eyrie"`
	OneZone    bool     `json:"samePlace"`
	Spread     bool     `json:"scatter"`
	Spot       bool     `json:"driftwood"`
	EstimateS  float64  `json:"flightS"`
	CheckpntS  float64  `json:"roostS"`
	SaveS      float64  `json:"stashS"`
	DeadlineS  *float64 `json:"duskS"`
	rankCached int
}

// Rank orders priorities; the higher one goes first.
func (s *Spec) Rank() int {
	if s.rankCached == 0 {
		s.rankCached = slices.Index(priorities, s.Priority) + 1
	}
	return s.rankCached
}

// ZoneLimit is how many tasks one zone may have at a time.
func (s *Spec) ZoneLimit() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// Allows tells whether the job may use such a machine, its other tasks aside.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, machineType)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// onlyTypes leaves out allowed machine types that do not exist, and repetitions:
// a record has to fit into one value.
func (s *Spec) onlyTypes(types []MachineType) {
	var known []string
	for _, t := range types {
		if slices.Contains(s.Types, t.Name) {
			known = append(known, t.Name)
		}
	}
	s.Types = known
}

// Ends tells whether the job's tasks run to completion.
func (s *Spec) Ends() bool { return s.Shape != Service }

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	RAMGB     float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBPS float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"eyries"`
}

// Fits tells whether a task fits an empty machine of the type.
func (t *MachineType) Fits(s *Spec) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.RAMGB <= t.RAMGB
}

// CanEverRun returns why a job can never run, or nil.
func CanEverRun(s *Spec, types []MachineType, set *settings.Settings) error {
	team, ok := set.Team(s.Team)
	if !ok {
		return fmt.Errorf("crew %q is not known", s.Team)
	}
	zones := map[string]bool{}
	for _, t := range types {
		for _, z := range t.Zones {
			if t.Fits(s) && s.Allows(t.Name, z, false) {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return errors.New("a task fits no allowed machine type")
	}
	if s.Shape != Batch && s.ZoneLimit() < s.Tasks && (s.OneZone || len(zones) == 1) {
		return errors.New("all tasks run at a time, and no zone may have more than half of them")
	}
	n := 1.0
	if s.Shape != Batch {
		n = float64(s.Tasks)
	}
	if team.MaxCPUs > 0 && n*s.CPUs > team.MaxCPUs || team.MaxGPUs > 0 && n*s.GPUs > team.MaxGPUs {
		return fmt.Errorf("the job needs more than the limit of crew %q", s.Team)
	}
	return nil
}
