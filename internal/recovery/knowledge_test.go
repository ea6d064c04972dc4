package recovery

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ospreyslip/internal/jobs"
)

// truth is what really became of a job, and a source's knowledge an earlier part of it.
type truth struct {
	tasks     int
	state     string
	tasksDone []int
	spec      *jobs.Spec
}

func drawTruth(t *rapid.T) truth {
	tr := truth{tasks: rapid.IntRange(1, 6).Draw(t, "tasks")}
	tr.spec = &jobs.Spec{ID: "j-1", Tasks: tr.tasks, Shape: jobs.Batch, CPUs: 1}
	tr.state = rapid.SampledFrom([]string{jobs.Queued, jobs.Done, jobs.Cancelled}).Draw(t, "state")
	for n := range tr.tasks {
		if tr.state == jobs.Done || rapid.Bool().Draw(t, "done") {
			tr.tasksDone = append(tr.tasksDone, n)
		}
	}
	if tr.state != jobs.Done && len(tr.tasksDone) == tr.tasks {
		tr.tasksDone = tr.tasksDone[1:] // else it would be done
	}
	return tr
}

// drawStatement draws what an honest source may say of a job.
func (tr truth) drawStatement(t *rapid.T) Knowledge {
	var k Knowledge
	from := rapid.SampledFrom([]Source{FromCache("perch-0"), FromCache("perch-1"), FromLeader, FromWorker("m-1"), FromSnapshot(7)}).Draw(t, "source")
	switch from {
	case FromWorker("m-1"):
		for n := range tr.tasks {
			switch done := slices.Contains(tr.tasksDone, n); {
			case done && rapid.Bool().Draw(t, "listed"):
				k.CompletedTasks = append(k.CompletedTasks, n)
			case !done && tr.state != jobs.Done && rapid.Bool().Draw(t, "runs"):
				k.RunningTasks = append(k.RunningTasks, n)
			}
		}
		k.MinTasks = 1
	default:
		k.Tasks = tr.tasks
		if rapid.Bool().Draw(t, "described") {
			k.Spec = tr.spec
		}
		switch known := rapid.SampledFrom([]string{jobs.Queued, tr.state}).Draw(t, "known"); known {
		case jobs.Done:
			k.Done = true
		case jobs.Cancelled:
			k.Cancelled = true
		default:
			k.Unfinished = from != FromSnapshot(7) && tr.state == jobs.Queued
		}
	}
	return Attribute(from, k)
}

// The order in which sources are heard, and how often, changes nothing.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, other := drawTruth(t), drawTruth(t)
		a, b, c := tr.drawStatement(t), other.drawStatement(t), tr.drawStatement(t) // b may contradict
		same := func(what string, x, y Knowledge) {
			if d := cmp.Diff(x, y, cmp.AllowUnexported(jobs.Spec{})); d != "" {
				t.Fatalf("%s: %s", what, d)
			}
		}
		same("commutative", a.Join(b), b.Join(a))
		same("associative", a.Join(b).Join(c), a.Join(b.Join(c)))
		same("idempotent", a.Join(b).Join(b), a.Join(b))
		same("neutral", Knowledge{}.Join(a), a)
		// What was known is not forgotten: final knowledge stays.
		if j := a.Join(b); a.Done && !j.Done || a.Cancelled && !j.Cancelled || a.Accepted && !j.Accepted || len(j.CompletedTasks) < len(a.CompletedTasks) {
			t.Fatalf("forgotten: %+v of %+v", j, a)
		}
	})
}
