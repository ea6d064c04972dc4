package recovery

import "fmt"

// Source names where knowledge comes from, for operators.
type Source string

// The sources. Those of several controllers, workers or snapshots carry a name.
const (
	FromService Source = "state service"
	FromLeader  Source = "leader"
	FromLog     Source = "assignment log"
)

// FromCache is a controller's cache of all jobs.
func FromCache(node string) Source { return Source("cache of " + node) }

// FromWorker is the worker of a machine.
func FromWorker(machine string) Source { return Source("worker " + machine) }

// FromSnapshot is a snapshot as of a revision.
func FromSnapshot(revision uint64) Source {
	return Source(fmt.Sprintf("snapshot at revision %d", revision))
}
