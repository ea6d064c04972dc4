package recovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreyslip/internal/jobs"
)

// Knowledge is what is known of one job. Its zero value knows nothing. Its slices are never
// changed in place, so that values may share them.
type Knowledge struct {
	Accepted       bool
	Unfinished     bool // as of the loss, it was neither done nor cancelled
	Done           bool
	Cancelled      bool
	Tasks          int        // number of tasks, 0 if not known
	MinTasks       int        // the least number of tasks, by the number of one that was seen
	Spec           *jobs.Spec // nil if not known
	AcceptedMs     int64      // time of day of its acceptance, 0 if not known
	CompletedTasks []int      // in order
	RunningTasks   []int      // tasks last seen running, in order
	Statements     []string   // what each source said of it, in order
}

// Attribute returns what a source knows of a job, with the source's statement on it. Whoever
// knows a job knows that it was accepted.
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

// statement puts what is known into words, for operators.
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

// Join returns all that either knows: the least upper bound of the two.
func (k Knowledge) Join(other Knowledge) Knowledge {
	return Knowledge{
		Accepted:       k.Accepted || other.Accepted,
		Unfinished:     k.Unfinished || other.Unfinished,
		Done:           k.Done || other.Done,
		Cancelled:      k.Cancelled || other.Cancelled,
		Tasks:          max(k.Tasks, other.Tasks),
		MinTasks:       max(k.MinTasks, other.MinTasks),
		Spec:           joinSpecs(k.Spec, other.Spec),
		AcceptedMs:     max(k.AcceptedMs, other.AcceptedMs),
		CompletedTasks: union(k.CompletedTasks, other.CompletedTasks),
		RunningTasks:   union(k.RunningTasks, other.RunningTasks),
		Statements:     union(k.Statements, other.Statements),
	}
}

// joinSpecs chooses one of two descriptions, the same in whatever order they come, as a join
// must. Mostly they are equal: a description never changes.
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
	return k.Tasks > 0 && len(k.CompletedTasks) >= k.Tasks && (k.Spec == nil || k.Spec.RunsToCompletion())
}

// KnowledgeByJob is what is known of several jobs, by job id.
type KnowledgeByJob map[string]Knowledge

// Merge joins what a source knows of a job into the map.
func (all KnowledgeByJob) Merge(id string, k Knowledge) { all[id] = all[id].Join(k) }

// IDs returns the ids of all jobs in order.
func (all KnowledgeByJob) IDs() []string { return slices.Sorted(maps.Keys(all)) }

// Provenance puts the statements of all sources on one line, for the log.
func (k Knowledge) Provenance() string { return strings.Join(k.Statements, "; ") }
