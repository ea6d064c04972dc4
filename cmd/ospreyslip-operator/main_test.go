package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/leader"
)

// operated is a state service, and controllers that answer as they are told.
type operated struct {
	t      *testing.T
	store  *emulator.State
	config string
	dir    string
	peers  []*httptest.Server
}

// newOperated serves on loopback: the state service, a follower and a leader.
func newOperated(t *testing.T, leaderHandler http.HandlerFunc) *operated {
	t.Helper()
	o := &operated{t: t, store: emulator.NewState(), dir: t.TempDir()}
	state := httptest.NewServer(o.store)
	t.Cleanup(state.Close)
	follower := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_ = json.NewEncoder(w).Encode(leader.RecoveryStatus{Following: "perch-1"})
	}
	for _, handler := range []http.HandlerFunc{follower, leaderHandler} {
		srv := httptest.NewServer(handler)
		t.Cleanup(srv.Close)
		o.peers = append(o.peers, srv)
	}
	addr := func(s *httptest.Server) string { return s.Listener.Addr().(*net.TCPAddr).String() }
	raw, err := os.ReadFile("../../internal/settings/testdata/perch-0.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, r := range [][2]string{
		{`state = "127.0.0.1:2379"`, fmt.Sprintf("state = %q", addr(state))},
		{`cluster_listen = "127.0.0.1:8081"`, fmt.Sprintf("cluster_listen = %q", addr(o.peers[0]))},
		{`peer_addr = "127.0.0.2:8081"`, fmt.Sprintf("peer_addr = %q", addr(o.peers[1]))},
	} {
		if !strings.Contains(text, r[0]) {
			t.Fatalf("the example settings have no %s", r[0])
		}
		text = strings.Replace(text, r[0], r[1], 1)
	}
	o.config = filepath.Join(o.dir, "settings.toml")
	if err := os.WriteFile(o.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return o
}

// run runs a command as a person would, and returns what it prints.
func (o *operated) run(args ...string) (string, error) {
	o.t.Helper()
	var out bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append(args, "--config", o.config))
	err := cmd.ExecuteContext(o.t.Context())
	if err != nil && strings.Contains(err.Error(), "\n") {
		o.t.Errorf("%v: more than a line: %v", args, err)
	}
	return out.String(), err
}

// A snapshot is taken, verified, shown, kept to so many, and imported page by page.
func TestSnapshotCommands(t *testing.T) {
	var imported []leader.Import
	o := newOperated(t, func(w http.ResponseWriter, r *http.Request) {
		var in leader.Import
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/recovery/import" {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		imported = append(imported, in)
		_ = json.NewEncoder(w).Encode(leader.Imported{Same: len(in.Jobs)})
	})
	value := fmt.Sprintf(`{"stance":"done","tasks":2,"x":%q}`, strings.Repeat("x", 1000))
	for i := range 700 {
		o.store.Put(fmt.Sprintf("job/j-%d", i), json.RawMessage(value))
	}
	out := t.TempDir()
	var path string
	for range 3 {
		printed, err := o.run("snapshot", "--out", out, "--keep", "2")
		if err != nil {
			t.Fatal(err)
		}
		path = strings.TrimSpace(printed)
	}
	if files, _ := os.ReadDir(out); len(files) != 2 {
		t.Errorf("kept %v", files)
	}
	if printed, err := o.run("snapshot", "verify", path); err != nil || !strings.HasPrefix(printed, "whole: 700 records") {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := o.run("snapshot", "show", path); err != nil || !strings.Contains(printed, "jobs done   700") {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := o.run("snapshot", "show", path, "j-7"); err != nil || !strings.Contains(printed, `"tasks":2`) {
		t.Errorf("%s, %v", printed, err)
	}
	if _, err := o.run("snapshot", "show", path, "j-9999"); err == nil {
		t.Error("a job that is not in it was shown")
	}
	printed, err := o.run("recover", "import", path)
	jobs := 0
	for _, in := range imported {
		jobs += len(in.Jobs)
	}
	if err != nil || len(imported) < 3 || jobs != 700 || !strings.Contains(printed, "700 the same") {
		t.Errorf("%d jobs on %d pages: %s, %v", jobs, len(imported), printed, err)
	}
	other := newOperated(t, nil)
	if _, err := other.run("recover", "import", path); err == nil || !strings.Contains(err.Error(), "is of deployment") {
		t.Errorf("into another deployment: %v", err)
	}
}

// What cannot be done is refused with one line.
func TestSnapshotCommandRefuses(t *testing.T) {
	o := newOperated(t, nil)
	bad := filepath.Join(o.dir, "bad")
	if err := os.WriteFile(bad, []byte("PAR1, but nothing of it"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"snapshot"},
		{"snapshot", "--out", filepath.Join(o.dir, "none")},
		{"snapshot", "--out", bad},
		{"snapshot", "--out", o.dir, "--keep", "-1"},
		{"snapshot", "--out", o.dir, "--every", "-1s"},
		{"snapshot", "verify", bad},
		{"snapshot", "verify", filepath.Join(o.dir, "none")},
		{"snapshot", "show", bad},
		{"recover", "import", bad},
		{"recover", "report"},
	} {
		if _, err := o.run(args...); err == nil {
			t.Errorf("%v was done", args)
		}
	}
	o.store.Down(true)
	if _, err := o.run("snapshot", "--out", o.dir); err == nil {
		t.Error("a snapshot was taken in an outage")
	}
}

// The leader is found among the controllers; what it refuses is told as it says.
func TestRecoverCommands(t *testing.T) {
	status := leader.RecoveryStatus{
		Phase: leader.Comparing, Lost: 3, Held: 1,
		HeldJobs: []leader.HeldStatus{{Job: "j-7", Why: "uncertain", Said: []string{"worker m-1: task 0 running"}}},
	}
	o := newOperated(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/recovery":
			_ = json.NewEncoder(w).Encode(status)
		case "/recovery/settle":
			var in controller.SettleRequest
			_ = json.NewDecoder(r.Body).Decode(&in)
			if in.As == "done" {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"error":"refused: tasks [0] are running"}`))
				return
			}
			_ = json.NewEncoder(w).Encode(in)
		}
	})
	for _, want := range []string{"comparing", "j-7", "worker m-1: task 0 running"} {
		if printed, err := o.run("recover", "status"); err != nil || !strings.Contains(printed, want) {
			t.Errorf("no %q in %s, %v", want, printed, err)
		}
	}
	var again leader.RecoveryStatus
	if printed, err := o.run("recover", "status", "--json"); err != nil || json.Unmarshal([]byte(printed), &again) != nil || again.Held != 1 {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := o.run("recover", "settle", "j-7", "run"); err != nil || printed != "j-7 settled as run\n" {
		t.Errorf("%s, %v", printed, err)
	}
	if _, err := o.run("recover", "settle", "j-7", "done"); err == nil || err.Error() != "j-7: refused: tasks [0] are running" {
		t.Errorf("refused: %v", err)
	}
	page := filepath.Join(o.dir, "report.html")
	if _, err := o.run("recover", "report", "--out", page); err != nil {
		t.Error(err)
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "j-7") {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	o.peers[1].Close()
	if _, err := o.run("recover", "status"); err == nil || !strings.Contains(err.Error(), "no leader answers") {
		t.Errorf("without a leader: %v", err)
	}
}
