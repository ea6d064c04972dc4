package jobs

import (
	"regexp"
	"slices"
)

var shapes = []string{Batch, Service, Gang}

var priorities = []string{BestEffort, Standard, Urgent, Prod}

// MaxTasks is the protocol's limit of tasks per job.
const MaxTasks = 100_000

var idForm = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidID tells whether an id has the form that all jobs' ids have.
func ValidID(id string) bool { return idForm.MatchString(id) }

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

// KeepOnlyTypes leaves out allowed machine types that do not exist, and repetitions:
// a record has to fit into one value.
func (s *Spec) KeepOnlyTypes(types []MachineType) {
	var known []string
	for _, t := range types {
		if slices.Contains(s.Types, t.Name) {
			known = append(known, t.Name)
		}
	}
	s.Types = known
}

// RunsToCompletion tells whether the job's tasks run to completion.
func (s *Spec) RunsToCompletion() bool { return s.Shape != Service }
