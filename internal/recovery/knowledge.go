package recovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreyslip/internal/jobs"
)

// Knowledge is what is known of one job. The zero value contains no knowledge. Slices are never
// modified in place, so values may share them.
type Knowledge struct {
	Accepted       bool
	Unfinished     bool // as of the loss, the job was neither done nor cancelled
	Done           bool
	Cancelled      bool
	Tasks          int        // number of tasks; 0 if not known
	MinTasks       int        // lower bound of Tasks, from the index of a task that was seen
	Spec           *jobs.Spec // nil if not known
	AcceptedAtMs   int64      // wall-clock time of the acceptance in milliseconds; 0 if not known
	CompletedTasks []int      // sorted
	RunningTasks   []int      // tasks that were last seen running; sorted
	Statements     []string   // what each source knows, in words; sorted
}

// Attribute returns the knowledge that a source has of a job, with a statement that names the
// source. A source that knows a job proves that the job was accepted.
func Attribute(from Source, k Knowledge) Knowledge {
	k.Accepted = true
	if k.Spec != nil && k.Tasks == 0 {
		k.Tasks = k.Spec.Tasks
	}
	k.CompletedTasks = sortedSet(k.CompletedTasks)
	k.RunningTasks = sortedSet(k.RunningTasks)
	k.Statements = []string{fmt.Sprintf("%s: %s", from, k.statement())}
	return k
}

// statement describes the knowledge in words, for operators.
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

// Join returns the least upper bound of both: all that either of them knows.
func (k Knowledge) Join(other Knowledge) Knowledge {
	return Knowledge{
		Accepted:       k.Accepted || other.Accepted,
		Unfinished:     k.Unfinished || other.Unfinished,
		Done:           k.Done || other.Done,
		Cancelled:      k.Cancelled || other.Cancelled,
		Tasks:          max(k.Tasks, other.Tasks),
		MinTasks:       max(k.MinTasks, other.MinTasks),
		Spec:           joinSpecs(k.Spec, other.Spec),
		AcceptedAtMs:   max(k.AcceptedAtMs, other.AcceptedAtMs),
		CompletedTasks: union(k.CompletedTasks, other.CompletedTasks),
		RunningTasks:   union(k.RunningTasks, other.RunningTasks),
		Statements:     union(k.Statements, other.Statements),
	}
}

// joinSpecs chooses one of two descriptions. Usually they are equal, because a description never
// changes. If they differ, the choice must not depend on their order, because Join is commutative.
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

// allTasksDone reports whether the number of tasks is known and all of them are done. It is false
// for a service, which does not run to completion.
func (k Knowledge) allTasksDone() bool {
	return k.Tasks > 0 && len(k.CompletedTasks) >= k.Tasks && (k.Spec == nil || k.Spec.RunsToCompletion())
}

// KnowledgeByJob maps job IDs to what is known of the jobs.
type KnowledgeByJob map[string]Knowledge

// Merge joins a source's knowledge of a job into the map.
func (all KnowledgeByJob) Merge(id string, k Knowledge) { all[id] = all[id].Join(k) }

// IDs returns the IDs of all jobs in sorted order.
func (all KnowledgeByJob) IDs() []string { return slices.Sorted(maps.Keys(all)) }

// Provenance returns the statements of all sources on one line, for the log.
func (k Knowledge) Provenance() string { return strings.Join(k.Statements, "; ") }
