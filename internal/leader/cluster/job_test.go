package cluster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
)

func newTestJob(tasks int) *Job {
	return NewJob("j-1", &jobs.Spec{ID: "j-1", Shape: jobs.Batch, Tasks: tasks}, 1, 0, time.Time{})
}

func TestRequeuedTasksGoFirst(t *testing.T) {
	job := newTestJob(5)
	job.MarkTaskDone(1)
	job.RestoreAssignment(&Assignment{Job: job, Index: 2})
	taken := []int{job.TakePendingTask(), job.TakePendingTask()}
	job.RequeueTask(0)
	taken = append(taken, job.TakePendingTask(), job.TakePendingTask())
	if d := cmp.Diff([]int{0, 3, 0, 4}, taken); d != "" || job.Pending.Count != 0 {
		t.Errorf("%d tasks pending; difference in the tasks taken: %s", job.Pending.Count, d)
	}
}

func TestTaskIsOffOnlyAfterLastDuplicateIsRemoved(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		job, restored := newTestJob(1), []*Assignment{{}, {}, {}}
		for _, a := range restored {
			job.RestoreAssignment(a)
		}
		for i, n := range order {
			if off := job.RemoveAssignment(restored[n]); off != (i == 2) || off != (job.Assignments[0] == nil) {
				t.Errorf("removal order %v: off all machines after %d removals: %v", order, i+1, off)
			}
		}
	}
}

func TestEncodedChunksDecodeToTheSameTasks(t *testing.T) {
	for _, tc := range []struct {
		done    []int
		encoded []string // by chunk
	}{
		{nil, []string{"", ""}},
		{[]int{0, 63}, []string{"AQAAAAAAAIA=", ""}},
		{[]int{9, 64, 99}, []string{"AAI=", "AQAAAAg="}},
	} {
		job, decoded := newTestJob(100), newTestJob(100)
		for _, index := range tc.done {
			job.MarkTaskDone(index)
		}
		for chunk, want := range tc.encoded {
			got := job.EncodeChunk(chunk, 64)
			if err := decoded.DecodeChunk(chunk, 64, got); err != nil || got != want {
				t.Errorf("tasks %v: chunk %d is encoded as %q, want %q; decoding error: %v", tc.done, chunk, got, want, err)
			}
		}
		if d := cmp.Diff(job.Completions.doneBits, decoded.Completions.doneBits); d != "" || decoded.Completions.Count != len(tc.done) {
			t.Errorf("tasks %v: %d decoded; difference: %s", tc.done, decoded.Completions.Count, d)
		}
	}
}
