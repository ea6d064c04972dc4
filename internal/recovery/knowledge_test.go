package recovery

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ospreyslip/internal/jobs"
)

// truth is the true state of a job. An honest source knows an earlier part of it.
type truth struct {
	tasks     int
	state     string
	tasksDone []int
	spec      *jobs.Spec
}

func drawTruth(t *rapid.T) truth {
	drawn := truth{tasks: rapid.IntRange(1, 6).Draw(t, "tasks")}
	drawn.spec = &jobs.Spec{ID: "j-1", Tasks: drawn.tasks, Shape: jobs.Batch, CPUs: 1}
	drawn.state = rapid.SampledFrom([]string{jobs.Queued, jobs.Done, jobs.Cancelled}).Draw(t, "state")
	for n := range drawn.tasks {
		if drawn.state == jobs.Done || rapid.Bool().Draw(t, "done") {
			drawn.tasksDone = append(drawn.tasksDone, n)
		}
	}
	if drawn.state != jobs.Done && len(drawn.tasksDone) == drawn.tasks {
		drawn.tasksDone = drawn.tasksDone[1:] // if all tasks were done, the job would be done
	}
	return drawn
}

// drawStatement draws what an honest source may say of the job.
func (tr truth) drawStatement(t *rapid.T) Knowledge {
	var known Knowledge
	from := rapid.SampledFrom([]Source{FromCache("perch-0"), FromCache("perch-1"), FromLeader, FromWorker("m-1"), FromSnapshot(7)}).Draw(t, "source")
	switch from {
	case FromWorker("m-1"):
		for n := range tr.tasks {
			switch done := slices.Contains(tr.tasksDone, n); {
			case done && rapid.Bool().Draw(t, "listed"):
				known.CompletedTasks = append(known.CompletedTasks, n)
			case !done && tr.state != jobs.Done && rapid.Bool().Draw(t, "runs"):
				known.RunningTasks = append(known.RunningTasks, n)
			}
		}
		known.MinTasks = 1
	default:
		known.Tasks = tr.tasks
		if rapid.Bool().Draw(t, "described") {
			known.Spec = tr.spec
		}
		switch state := rapid.SampledFrom([]string{jobs.Queued, tr.state}).Draw(t, "known"); state {
		case jobs.Done:
			known.Done = true
		case jobs.Cancelled:
			known.Cancelled = true
		default:
			known.Unfinished = from != FromSnapshot(7) && tr.state == jobs.Queued
		}
	}
	return Attribute(from, known)
}

// Checks that the joined knowledge does not depend on the order in which sources respond, or on
// how often they do.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actual, other := drawTruth(t), drawTruth(t)
		a, b, c := actual.drawStatement(t), other.drawStatement(t), actual.drawStatement(t) // b may contradict both
		same := func(what string, x, y Knowledge) {
			if diff := cmp.Diff(x, y, cmp.AllowUnexported(jobs.Spec{})); diff != "" {
				t.Fatalf("%s: %s", what, diff)
			}
		}
		same("commutative", a.Join(b), b.Join(a))
		same("associative", a.Join(b).Join(c), a.Join(b.Join(c)))
		same("idempotent", a.Join(b).Join(b), a.Join(b))
		same("neutral", Knowledge{}.Join(a), a)
		// A join keeps all that was known, above all that a job has finished.
		if joined := a.Join(b); a.Done && !joined.Done || a.Cancelled && !joined.Cancelled || a.Accepted && !joined.Accepted || len(joined.CompletedTasks) < len(a.CompletedTasks) {
			t.Fatalf("joined knowledge %+v lacks part of %+v", joined, a)
		}
	})
}
