package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/settings"
)

var errNoSettings = errors.New("no settings")

// serveStatus serves the status of one controller and returns its address.
func serveStatus(t *testing.T, status controller.Status) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// unusedAddr returns an address that refuses connections.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The command shows the leader's status if the leader responds, otherwise the first response, and
// names the controllers that do not respond.
func TestStatusPrefersLeader(t *testing.T) {
	follower := serveStatus(t, controller.Status{ControllerName: "perch-0", Zone: "a", Leader: "perch-1"})
	leading := serveStatus(t, controller.Status{ControllerName: "perch-1", Zone: "b", Leader: "perch-1", Leading: true, LeaderStatus: &leader.Status{Term: 7, Token: 9}})
	absent := unusedAddr(t)
	for _, tc := range []struct {
		name  string
		addrs []string
		args  []string
		want  string
		names string // expected on standard error; empty for no output
	}{
		{"the leader behind a follower", []string{follower, leading}, nil, "node       perch-1 (b)\nleader     perch-1\nterm       7, token 9\n", ""},
		{"the leader behind a controller that is down", []string{absent, leading}, nil, "node       perch-1 (b)\n", absent},
		{"a follower only", []string{follower, absent}, nil, "node    perch-0 (a)\nleader  perch-1\n", absent},
		{"the controller given by --addr", []string{leading}, []string{"--addr", follower}, "node    perch-0 (a)\n", ""},
		{"as JSON", []string{leading}, []string{"--json"}, `"node":"perch-1"`, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := &settings.Settings{ClusterListen: tc.addrs[0]}
			for _, addr := range tc.addrs[1:] {
				cfg.Peers = append(cfg.Peers, settings.Peer{Addr: addr})
			}
			cmd := statusCommand(func() (*settings.Settings, error) { return cfg, nil })
			var out, warnings bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&warnings)
			cmd.SetArgs(tc.args)
			if err := cmd.ExecuteContext(t.Context()); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), tc.want) {
				t.Errorf("printed %q, want %q in it", out.String(), tc.want)
			}
			if !strings.Contains(warnings.String(), tc.names) || (tc.names == "") != (warnings.Len() == 0) {
				t.Errorf("warned %q, want %q in it", warnings.String(), tc.names)
			}
		})
	}
}

func TestStatusWithoutResponse(t *testing.T) {
	for name, load := range map[string]func() (*settings.Settings, error){
		"no controller answered: ": func() (*settings.Settings, error) { return &settings.Settings{ClusterListen: unusedAddr(t)}, nil },
		errNoSettings.Error():      func() (*settings.Settings, error) { return nil, errNoSettings },
	} {
		cmd := statusCommand(load)
		cmd.SetOut(&bytes.Buffer{})
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs(nil)
		if err := cmd.ExecuteContext(t.Context()); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got %v, want %q in it", err, name)
		}
	}
}
