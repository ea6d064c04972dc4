// Package recovery joins what the state service, controllers, workers and snapshots know
// of jobs whose records are lost, and decides what may be written back. It does no I/O
// and reads no clock.
//
// Knowledge only grows: a job that is over by any source stays over. The join of two
// pieces of knowledge is commutative, associative and idempotent, so that it matters
// neither in which order sources are heard nor how often.
package recovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreyslip/internal/jobs"
)

// Source names who said something.
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

// FromOperator is a person's decision.
const FromOperator Source = "operator"

// Knowledge is what is known of one job. Its zero value knows nothing.
type Knowledge struct {
	Accepted       bool
	Unfinished     bool // as of the loss: neither done nor cancelled then
	Done           bool
	Cancelled      bool
	Tasks          int        // 0 if not known
	MinTasks       int        // at least so many, by a task's number
	Spec           *jobs.Spec // nil if not known
	AcceptedMs     int64      // time of day of its acceptance, 0 if not known
	CompletedTasks []int      // in order
	RunningTasks   []int      // tasks last seen running, in order
	Statements     []string   // each source's word, in order
}

// Attribute returns knowledge with the source's word on it.
func Attribute(from Source, k Knowledge) Knowledge {
	k.Accepted = true // whoever knows a job knows that it was accepted
	if k.Spec != nil && k.Tasks == 0 {
		k.Tasks = k.Spec.Tasks
	}
	k.CompletedTasks = sortedSet(k.CompletedTasks)
	k.RunningTasks = sortedSet(k.RunningTasks)
	k.Statements = []string{fmt.Sprintf("%s: %s", from, k.statement())}
	return k
}

func (k Knowledge) statement() string {
	switch {
	case k.Done && k.Cancelled:
		return "done and cancelled"
	case k.Done:
		return "done"
	case k.Cancelled:
		return "cancelled"
	case len(k.RunningTasks) == 1 && len(k.CompletedTasks) == 0:
		return fmt.Sprintf("task %d running", k.RunningTasks[0])
	case len(k.RunningTasks) == 0 && len(k.CompletedTasks) == 1:
		return fmt.Sprintf("task %d done", k.CompletedTasks[0])
	case len(k.RunningTasks)+len(k.CompletedTasks) > 0:
		return fmt.Sprintf("tasks running %v, done %v", k.RunningTasks, k.CompletedTasks)
	case k.Unfinished:
		return "unfinished"
	}
	return "accepted"
}

// Join returns all that either knows.
func (k Knowledge) Join(o Knowledge) Knowledge {
	return Knowledge{
		Accepted:       k.Accepted || o.Accepted,
		Unfinished:     k.Unfinished || o.Unfinished,
		Done:           k.Done || o.Done,
		Cancelled:      k.Cancelled || o.Cancelled,
		Tasks:          max(k.Tasks, o.Tasks),
		MinTasks:       max(k.MinTasks, o.MinTasks),
		Spec:           joinSpecs(k.Spec, o.Spec),
		AcceptedMs:     max(k.AcceptedMs, o.AcceptedMs),
		CompletedTasks: union(k.CompletedTasks, o.CompletedTasks),
		RunningTasks:   union(k.RunningTasks, o.RunningTasks),
		Statements:     union(k.Statements, o.Statements),
	}
}

// joinSpecs chooses one of two descriptions, the same in whatever order they come.
// Mostly they are equal: a description never changes.
func joinSpecs(a, b *jobs.Spec) *jobs.Spec {
	switch {
	case a == nil:
		return b
	case b == nil || a == b:
		return a
	}
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	if string(second) > string(first) {
		return b
	}
	return a
}

func union[T int | string](a, b []T) []T {
	if len(b) == 0 {
		return a
	}
	return sortedSet(slices.Concat(a, b))
}

func sortedSet[T int | string](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return slices.Compact(all)
}

// allTasksDone tells whether every task of a job of which the number of tasks is known is done.
func (k Knowledge) allTasksDone() bool {
	return k.Tasks > 0 && len(k.CompletedTasks) >= k.Tasks && (k.Spec == nil || k.Spec.Ends())
}

// KnowledgeByJob is what is known of several jobs, by id.
type KnowledgeByJob map[string]Knowledge

// Merge takes in what a source says of a job.
func (v KnowledgeByJob) Merge(id string, k Knowledge) { v[id] = v[id].Join(k) }

// MergeAll takes in another view.
func (v KnowledgeByJob) MergeAll(o KnowledgeByJob) {
	for id, k := range o {
		v.Merge(id, k)
	}
}

// IDs returns the jobs in order.
func (v KnowledgeByJob) IDs() []string { return slices.Sorted(maps.Keys(v)) }

// Provenance puts what the sources said on one line.
func (k Knowledge) Provenance() string { return strings.Join(k.Statements, "; ") }
