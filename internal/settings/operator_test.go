package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadOperator(t *testing.T) {
	if defaults := DefaultOperator(); defaults.SuspectHeartbeats != 3 || defaults.HoldHeartbeats != 2 || defaults.VerdictIntervalS != 1 || defaults.TimeLeftShare != 0.4 || defaults.FailoverPatience != 1 || defaults.IdleBootTimes != 0.5 || defaults.SlowBootTimes != 2 || defaults.LateBootTimes != 4 {
		t.Errorf("defaults: %+v", defaults)
	}
	for _, tc := range []struct{ name, body, want string }{
		{"empty", `{}`, ""},
		{"one field", `{"idleBoots": 2}`, ""},
		{"out of range", `{"silentReports": 1}`, "silentReports: validating root: validating /properties/silentReports: minimum: 1/1 is less than 2"},
		{"wrong type", `{"dueShare": "half"}`, `dueShare: validating root: validating /properties/dueShare: type: half has type "string", want "number"`},
		{"unknown field", `{"silent": 3}`, `silent: validating root: unexpected additional properties ["silent"]`},
		{"not JSON", `{`, "unexpected end of JSON input"},
		{"not an object", `[]`, `has type "array", want "object"`},
		{"two errors, the first", `{"silentReports": 1, "dueShare": 3}`, "dueShare: "},
		{"two errors, the second", `{"silentReports": 1, "dueShare": 3}`, "silentReports: "},
		{"late before slow", `{"slowBoots": 5, "lateBoots": 2}`, "lateBoots (2) must not be below slowBoots (5)"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "operator.json")
			if err := os.WriteFile(file, []byte(tc.body), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadOperator(file)
			if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}
