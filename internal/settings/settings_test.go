package settings

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/wirejson/wirejsontest"
)

func TestLoad(t *testing.T) {
	valid, err := os.ReadFile("testdata/perch-0.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, old, new, want string }{
		{"unmodified, with unknown fields", "", "", ""},
		{"not TOML", "node_name =", "node_name", "toml"},
		{"wrong type", "report_s = 2.0", `report_s = "2"`, "report_s"},
		{"address without a port", `bind = "127.0.0.1:8080"`, `bind = "127.0.0.1"`, "bind must be host:port"},
		{"lease of zero length", "lease_s = 20.0", "lease_s = 0.0", "deployment.workers.lease_s must be a finite number above 0, is 0"},
		{"not a number", "rps = 6.0", "rps = nan", "deployment.cloud.rps must be a finite number"},
		{"cancel deadline not longer than the lease", "cancel_s = 40.0", "cancel_s = 20.0", "cancel_s (20) must exceed lease_s (20)"},
		{"duplicate team", `name = "blue"`, `name = "red"`, "deployment.teams[1].name"},
		{"negative limit", "cpus_max = 40.0", "cpus_max = -1.0", "cpus_max must be a finite number of at least 0"},
		{"gang wait of zero length", "lease_s = 20.0", "lease_s = 20.0\ngang_wait_s = 0.0", "deployment.workers.gang_wait_s must be a finite number above 0, is 0"},
		{"upcoming limits", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 2.0\nmore = 1", ""},
		{"upcoming value size of zero", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.0", "deployment.state.next.value_kb must be a finite number above 0, is 0"},
		{"upcoming transactions too small", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\ntxn_ops = 3", "deployment.state.next.txn_ops must be at least 4, is 3"},
		{"too little memory", "memory_mb = 200.0", "memory_mb = 12.0", "deployment.machine_limits.memory_mb must be at least 25, is 12"},
		{"just enough memory", "memory_mb = 200.0", "memory_mb = 25.0", ""},
		{"too few sockets", "max_sockets = 1000", "max_sockets = 64", "deployment.machine_limits.max_sockets must be at least 150, is 64"},
		{"half a node", "nodes = 2", "nodes = 2.5", "deployment.nodes"},
		{"text for a list", `zones = ["a", "b"]`, `zones = "a"`, "deployment.zones"},
		{"a number for a text", `name = "blue"`, `name = 7`, "deployment.teams[1].name"},
		{"integers for decimal numbers", "lease_s = 20.0", "lease_s = 20", ""},
		{"infinite limit", "rps = 6.0", "rps = inf", "deployment.cloud.rps must be a finite number"},
		{"repeated field", "lease_s = 20.0", "lease_s = 20.0\nlease_s = 21.0", "lease_s"},
		{"itself as a peer", `node_name = "perch-1"`, `node_name = "perch-0"`, "peers[0].node_name"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(string(valid), tc.old, tc.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(file, "")
			switch {
			case tc.want == "" && err != nil:
				t.Errorf("valid settings are rejected: %v", err)
			case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
				t.Errorf("got error %v, want one that contains %q", err, tc.want)
			}
		})
	}
}

// TestUnknownSettings guards against an unknown field of the platform's file that takes the place of a known one
// because their names are alike.
func TestUnknownSettings(t *testing.T) {
	valid, err := os.ReadFile("testdata/perch-0.toml")
	if err != nil {
		t.Fatal(err)
	}
	load := func(contents string) (*Settings, error) {
		file := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(file, []byte(contents), 0o600); err != nil {
			t.Fatal(err)
		}
		return Load(file, "")
	}
	want, err := load(string(valid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`node_name = "perch-0"`, `bind = "127.0.0.1:8080"`, `peer_addr = "127.0.0.2:8081"`, `state = "127.0.0.1:2379"`, "nodes = 2",
		`zones = ["a", "b"]`, "cpus_max = 16.0", `kind = "deadline"`, "report_s = 2.0", "lease_s = 20.0", "txn_ops = 12", "list_lag_s = 4.0", "max_sockets = 1000",
	} {
		name, _, _ := strings.Cut(line, " = ")
		spellings := append(wirejsontest.Spellings(name), "-", "Operator", "operator")
		for _, spelling := range spellings {
			for _, value := range []string{"7", `"perch-9"`, "0.5", `["z"]`, "{rps = 1.0}"} {
				unknown := strconv.QuoteToASCII(spelling) + " = " + value
				unknown = strings.ReplaceAll(unknown, `\x00`, `\u0000`)
				for _, changed := range []string{line + "\n" + unknown, unknown + "\n" + line} {
					got, err := load(strings.Replace(string(valid), line, changed, 1))
					if d := cmp.Diff(want, got); err != nil || d != "" {
						t.Errorf("%s: %v\n%s", unknown, err, d)
					}
				}
			}
		}
		missing := strings.Replace(string(valid), line, strings.ToUpper(name)+strings.TrimPrefix(line, name), 1)
		if got, err := load(missing); err == nil && cmp.Equal(want, got) {
			t.Errorf("%s counts as %s", strings.ToUpper(name), name)
		}
	}
}
