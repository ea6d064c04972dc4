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
	t.Setenv("OSPREYSLIP_OPERATOR", "") // its value is part of the help text
	for name, args := range map[string][]string{
		"help":        {"--help"},
		"help-check":  {"check", "--help"},
		"help-status": {"status", "--help"},
		"check":       {"check", "--config", "../../internal/settings/testdata/perch-0.toml"},
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
