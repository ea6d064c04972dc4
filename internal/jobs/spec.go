package jobs

import (
	"regexp"
	"slices"
)

var shapes = []string{Batch, Service, Gang}

// priorities lists the priorities in ascending order.
var priorities = []string{BestEffort, Standard, Urgent, Prod}

// MaxTasks is the maximum number of tasks per job that the protocol allows.
const MaxTasks = 100_000

var idPattern = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidID reports whether id has the form of a job ID.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Rank returns the rank of the job's priority; a job of a higher rank is scheduled first. The
// result is cached, so the first call on a Spec must not run concurrently with another.
func (s *Spec) Rank() int {
	if s.cachedRank == 0 {
		s.cachedRank = slices.Index(priorities, s.Priority) + 1
	}
	return s.cachedRank
}

// ZoneLimit returns the maximum number of the job's tasks in one zone at a time.
func (s *Spec) ZoneLimit() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// Allows reports whether a task may run on a machine of the given type in the given zone,
// regardless of where the job's other tasks run.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, machineType)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// PruneTypes drops duplicates and types that are not in the catalog from the allowed machine
// types, because a record must fit into one value of the key-value store.
func (s *Spec) PruneTypes(catalog []MachineType) {
	var known []string
	for _, machineType := range catalog {
		if slices.Contains(s.Types, machineType.Name) {
			known = append(known, machineType.Name)
		}
	}
	s.Types = known
}

// RunsToCompletion reports whether the job's tasks end by themselves, unlike those of a service.
func (s *Spec) RunsToCompletion() bool { return s.Shape != Service }
