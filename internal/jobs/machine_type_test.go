package jobs

import (
	"errors"
	"testing"

	"ospreyslip/internal/settings"
)

// CheckRunnable returns a distinct error for each reason why a job can never run.
func TestCheckRunnable(t *testing.T) {
	catalog := []MachineType{
		{Name: "small", CPUs: 4, RAMGB: 16, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, GPUs: 8, RAMGB: 512, Zones: []string{"a", "b"}},
	}
	config := &settings.Settings{}
	config.Deployment.Teams = []settings.Team{{Name: "vision", MaxCPUs: 100, MaxGPUs: 8}}
	for _, test := range []struct {
		name string
		spec Spec
		want error
	}{
		{"fits", Spec{Team: "vision", Shape: Batch, Tasks: 500, CPUs: 4}, nil},
		{"unknown team", Spec{Team: "other", Shape: Batch, Tasks: 1, CPUs: 4}, UnknownTeamError{"other"}},
		{"too large", Spec{Team: "vision", Shape: Batch, Tasks: 1, CPUs: 65}, ErrFitsNoMachineType},
		{"fits no allowed type", Spec{Team: "vision", Shape: Batch, Tasks: 1, CPUs: 8, Types: []string{"small"}}, ErrFitsNoMachineType},
		{"spread over two zones", Spec{Team: "vision", Shape: Gang, Tasks: 4, CPUs: 8, Spread: true}, nil},
		{"spread in one zone", Spec{Team: "vision", Shape: Gang, Tasks: 4, CPUs: 8, Spread: true, OneZone: true}, ErrNeedsTwoZones},
		{"spread where one zone fits", Spec{Team: "vision", Shape: Service, Tasks: 4, CPUs: 4, Types: []string{"small"}, Spread: true}, ErrNeedsTwoZones},
		{"gang over the limit", Spec{Team: "vision", Shape: Gang, Tasks: 26, CPUs: 4}, TeamLimitError{"vision"}},
		{"at the limit", Spec{Team: "vision", Shape: Batch, Tasks: 1, GPUs: 8}, nil},
	} {
		if err := CheckRunnable(&test.spec, catalog, config); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}
