package recovery

import "fmt"

// Source names the origin of knowledge, for operators.
type Source string

// The sources that exist once. Other sources are named by the functions below.
const (
	FromStore  Source = "state service"
	FromLeader Source = "leader"
	FromLog    Source = "assignment log"
)

// FromCache returns the source for a controller's cache of all jobs.
func FromCache(controller string) Source { return Source("cache of " + controller) }

// FromWorker returns the source for the worker of a machine.
func FromWorker(machine string) Source { return Source("worker " + machine) }

// FromSnapshot returns the source for a snapshot of the store at a revision.
func FromSnapshot(revision uint64) Source {
	return Source(fmt.Sprintf("snapshot at revision %d", revision))
}
