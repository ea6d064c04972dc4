package gang

import "testing"

func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name string
		f    Facts
		want Verdict
	}{
		{"half of the beginnings are durable", Facts{Size: 4, Here: 4, Written: 2}, Hold},
		{"all are", Facts{Size: 4, Here: 4, Written: 4}, Go},
		{"one of a gang alone", Facts{Size: 1, Here: 1, Written: 1}, Go},
		{"one is lost", Facts{Size: 4, Here: 3, Written: 4}, End},
		{"one is lost before all were written", Facts{Size: 4, Here: 3, Written: 3}, End},
		{"a new leader finds half", Facts{Size: 4, Here: 2, Written: 2}, End},
		{"the rest is stopping", Facts{Size: 4, Here: 3, Written: 4, Stopping: true}, Wait},
		{"all are stopping", Facts{Size: 4, Here: 4, Written: 4, Stopping: true}, Wait},
		{"the last is off", Facts{Size: 4, Here: 0, Written: 4, Stopping: true}, Anew},
	} {
		if got := Decide(tc.f); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestSaves(t *testing.T) {
	if !Saves(20, 5, 5, 12) {
		t.Error("time enough to save, and it does not")
	}
	if Saves(20, 5, 5, 7) {
		t.Error("stops a gang that can not save in time")
	}
	if Saves(0, 0, 5, 60) {
		t.Error("stops a gang that never saves")
	}
}
