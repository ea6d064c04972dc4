package cluster

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
)

func TestCatalogTypesAndBootTimes(t *testing.T) {
	types := []jobs.MachineType{{Name: "c4", BootS: 10}, {Name: "c8", BootS: 2.5}, {Name: "g1"}}
	catalog := Catalog{Types: func() []jobs.MachineType { return types }, DefaultBootTime: 20 * time.Second}
	for _, tc := range []struct {
		name  string
		known bool
		boot  time.Duration
	}{
		{"c4", true, 10 * time.Second},
		{"c8", true, 2500 * time.Millisecond},
		{"g1", true, 20 * time.Second}, // has no boot time of its own
		{"x1", false, 20 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machineType := catalog.Type(tc.name)
			if (machineType != nil) != tc.known || tc.known && machineType.Name != tc.name {
				t.Errorf("Type returned %+v", machineType)
			}
			if got := catalog.BootTime(tc.name); got != tc.boot {
				t.Errorf("BootTime returned %v", got)
			}
		})
	}
	if got := catalog.ShortestBootTime(); got != 2500*time.Millisecond {
		t.Errorf("ShortestBootTime returned %v", got)
	}
}
