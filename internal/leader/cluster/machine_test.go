package cluster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
)

func TestLeastRecentlyUsedImagesAreEvicted(t *testing.T) {
	for _, tc := range []struct {
		name       string
		capacityGB float64
		used, want []string // images of 4 GB each
	}{
		{"the least recently used is evicted", 8, []string{"a", "b", "c"}, []string{"b", "c"}},
		{"used again, it is kept", 8, []string{"a", "b", "a", "c"}, []string{"a", "c"}},
		{"unknown capacity", 0, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{"no image fits", 3, []string{"a"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := NewMachine("m-1", time.Time{})
			for _, image := range tc.used {
				machine.CacheImage(&jobs.Spec{Image: image, ImageGB: 4}, tc.capacityGB)
			}
			if d := cmp.Diff(tc.want, slices.Sorted(maps.Keys(machine.Offer.Images))); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestMachineSetIndexesStayConsistent(t *testing.T) {
	set := NewMachineSet()
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		set.Add(NewMachine(id, time.Time{}))
	}
	for _, id := range []string{"m-1", "m-4", "m-3"} { // the first, the one moved into its place, the last
		removed := set.ByID[id]
		set.Remove(removed)
		if set.Contains(removed) || slices.Contains(set.All, removed) || set.Groups[removed.TickGroup][removed] {
			t.Errorf("%s is still in the set after Remove", id)
		}
	}
	if left := set.ByID["m-2"]; len(set.All) != 1 || set.All[0] != left || !set.Groups[left.TickGroup][left] {
		t.Errorf("%d machines are in the set, want only m-2", len(set.All))
	}
}
