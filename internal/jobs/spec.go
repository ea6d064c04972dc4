package jobs

import (
	"regexp"
	"slices"
)

var shapes = []string{Batch, Service, Gang}

// priorities are in ascending order.
var priorities = []string{BestEffort, Standard, Urgent, Prod}

// MaxTasks is the protocol's limit of tasks per job.
const MaxTasks = 100_000

var idForm = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidID tells whether an id has the form that all jobs' ids have.
func ValidID(id string) bool { return idForm.MatchString(id) }

// Rank orders priorities; the higher one goes first. It is remembered, so that the first call for
// a job must not run beside another.
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

// Allows tells whether a task may run on a machine of a type in a zone, wherever the job's other
// tasks are.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, machineType)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// KeepOnlyTypes leaves out allowed machine types that are not in the catalog, and repetitions: a
// record has to fit into one value.
func (s *Spec) KeepOnlyTypes(catalog []MachineType) {
	var known []string
	for _, machineType := range catalog {
		if slices.Contains(s.Types, machineType.Name) {
			known = append(known, machineType.Name)
		}
	}
	s.Types = known
}

// RunsToCompletion tells whether the job's tasks end by themselves, unlike those of a service.
func (s *Spec) RunsToCompletion() bool { return s.Shape != Service }
