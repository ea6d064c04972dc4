package leader

import (
	"testing"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/workers"
)

// lostFleet is the number of machines of the test below.
const lostFleet = 4000

// The assignment log of 4,000 machines is lost with the leader. The next one, which reads
// the jobs and no task, adopts what each worker reports: nothing is stopped, nothing begun
// meanwhile, and at the end of the leases all is accounted for.
func TestAdoptionAtScale(t *testing.T) {
	l, reports, now := fleetOf(t, lostFleet)
	spec := *l.jobs["j-7"].spec
	next := newLeader(l.Deps, election.Term{Token: 6, Since: now})
	next.viewTime = now
	next.watch = liveness.New(liveness.Config{})
	next.readLog(nil)
	j := newJob(spec.ID, &spec, 1, 0, now)
	next.jobs[spec.ID] = j
	next.suspect(detection.Evidence{Kind: detection.SegmentMissing, Key: logPrefix}, now)
	if !next.awaitsWorkers(j, now) {
		t.Fatal("tasks would be placed before those that run are known")
	}
	began := time.Now()
	for _, r := range reports {
		r.FencingToken = 6
		r.Seq++
		answer := next.report(r, now)
		if answer == nil {
			t.Fatalf("%s is not answered", r.Machine)
		}
		for _, c := range answer.Commands {
			if c.Op != workers.OpClear {
				t.Fatalf("%s is told: %s %s", r.Machine, c.Op, c.Task)
			}
		}
	}
	t.Logf("%d reports with adoption: %v", len(reports), time.Since(began).Round(time.Millisecond))
	if len(j.tasks) != lostFleet || j.waiting != spec.Tasks-lostFleet {
		t.Errorf("%d of %d tasks adopted, %d wait", len(j.tasks), lostFleet, j.waiting)
	}
	next.endAdoptions(now.Add(next.Derived.Workers.LeaseExpiry))
	if len(next.adopting) > 0 || j.spec.Shape != jobs.Batch {
		t.Error("still waiting after every lease has ended")
	}
}

// The segment that said that a task's first attempt is over was lost: the log has two of it.
// The task waits again only when both are off their machines, and then once.
func TestTaskTwiceInALogWithAHole(t *testing.T) {
	for _, firstEnds := range []int{0, 1} {
		l, _, j, now := bench()
		next := newLeader(l.Deps, election.Term{Token: 6, Since: now})
		next.readLog(nil)
		spec := *j.spec
		job := newJob(j.id, &spec, 1, 0, now)
		next.jobs[j.id] = job
		segments := []segmentRecord{{Number: 1}, {Number: 2}}
		for i := range segments {
			segments[i].Begun = []begunRecord{{
				Machine: []string{"m-1", "m-2"}[i], Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", Session: 1,
				Tasks: []taskRecord{{Job: j.id, N: 0, Attempt: uint64(i + 1)}},
			}}
		}
		next.restore(segments, nil, now)
		if job.waiting != 1 || len(job.tasks) != 1 {
			t.Fatalf("%d wait, %d are placed", job.waiting, len(job.tasks))
		}
		both := []*assignment{next.machines.byID["m-1"].assigned[1], next.machines.byID["m-2"].assigned[2]}
		for i, a := range []*assignment{both[firstEnds], both[1-firstEnds]} {
			next.conclude(a, retry)
			next.forget(a)
			if want := 1 + i; job.waiting != want {
				t.Errorf("after %d of two has ended, %d tasks wait, want %d", i+1, job.waiting, want)
			}
		}
		if len(job.tasks) != 0 {
			t.Errorf("%d still placed", len(job.tasks))
		}
	}
}
