package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The commands, the flags and the help texts must be those of version 0.8.0.
func TestHelp(t *testing.T) {
	for name, args := range map[string][]string{
		"help":                 {"--help"},
		"help-snapshot":        {"snapshot", "--help"},
		"help-snapshot-verify": {"snapshot", "verify", "--help"},
		"help-snapshot-show":   {"snapshot", "show", "--help"},
		"help-recover":         {"recover", "--help"},
		"help-recover-status":  {"recover", "status", "--help"},
		"help-recover-report":  {"recover", "report", "--help"},
		"help-recover-import":  {"recover", "import", "--help"},
		"help-recover-settle":  {"recover", "settle", "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := newRootCommand()
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			cmd.SetArgs(args)
			if err := cmd.ExecuteContext(t.Context()); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", name+".txt")
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(out.String(), "\n")); d != "" {
				t.Errorf("%s (-want +got):\n%s", path, d)
			}
		})
	}
}
