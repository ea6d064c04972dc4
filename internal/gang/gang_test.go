package gang

import "testing"

func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"half of the starts are durable", Attempt{Size: 4, Placed: 4, Durable: 2}, AwaitRecords},
		{"all starts are durable", Attempt{Size: 4, Placed: 4, Durable: 4}, Run},
		{"a gang of one task", Attempt{Size: 1, Placed: 1, Durable: 1}, Run},
		{"one task is lost", Attempt{Size: 4, Placed: 3, Durable: 4}, Abort},
		{"one task is lost before all starts are durable", Attempt{Size: 4, Placed: 3, Durable: 3}, Abort},
		{"a new leader finds half of the tasks", Attempt{Size: 4, Placed: 2, Durable: 2}, Abort},
		{"the remaining tasks are stopping", Attempt{Size: 4, Placed: 3, Durable: 4, Stopping: true}, AwaitStop},
		{"all tasks are stopping", Attempt{Size: 4, Placed: 4, Durable: 4, Stopping: true}, AwaitStop},
		{"the last task is off its machine", Attempt{Size: 4, Placed: 0, Durable: 4, Stopping: true}, Retry},
	} {
		if got := Decide(tc.attempt); got != tc.want {
			t.Errorf("%s: got decision %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestShouldCheckpoint(t *testing.T) {
	if !ShouldCheckpoint(20, 5, 5, 12) {
		t.Error("gang with enough time for a checkpoint is not stopped")
	}
	if ShouldCheckpoint(20, 5, 5, 7) {
		t.Error("gang that cannot finish its checkpoint in time is stopped")
	}
	if ShouldCheckpoint(0, 0, 5, 60) {
		t.Error("gang without checkpoints is stopped")
	}
}
