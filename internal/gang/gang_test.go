package gang

import "testing"

func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"half of the beginnings are durable", Attempt{Size: 4, Placed: 4, Durable: 2}, AwaitRecords},
		{"all are", Attempt{Size: 4, Placed: 4, Durable: 4}, Run},
		{"one of a gang alone", Attempt{Size: 1, Placed: 1, Durable: 1}, Run},
		{"one is lost", Attempt{Size: 4, Placed: 3, Durable: 4}, Abort},
		{"one is lost before all were written", Attempt{Size: 4, Placed: 3, Durable: 3}, Abort},
		{"a new leader finds half", Attempt{Size: 4, Placed: 2, Durable: 2}, Abort},
		{"the rest is stopping", Attempt{Size: 4, Placed: 3, Durable: 4, Stopping: true}, AwaitStop},
		{"all are stopping", Attempt{Size: 4, Placed: 4, Durable: 4, Stopping: true}, AwaitStop},
		{"the last is off", Attempt{Size: 4, Placed: 0, Durable: 4, Stopping: true}, Retry},
	} {
		if got := Decide(tc.attempt); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestShouldCheckpoint(t *testing.T) {
	if !ShouldCheckpoint(20, 5, 5, 12) {
		t.Error("time enough to save, and it does not")
	}
	if ShouldCheckpoint(20, 5, 5, 7) {
		t.Error("stops a gang that can not save in time")
	}
	if ShouldCheckpoint(0, 0, 5, 60) {
		t.Error("stops a gang that never saves")
	}
}
