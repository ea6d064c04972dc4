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
	"ospreyslip/internal/leader/recoverer"
)

// operatorEnvironment is a state service and two stub controllers, with the settings to reach them.
type operatorEnvironment struct {
	t      *testing.T
	store  *emulator.KVStore
	config string
	dir    string
	peers  []*httptest.Server
}

// newOperatorEnvironment starts a state service, a follower and a leader on loopback.
func newOperatorEnvironment(t *testing.T, leaderHandler http.HandlerFunc) *operatorEnvironment {
	t.Helper()
	env := &operatorEnvironment{t: t, store: emulator.NewKVStore(), dir: t.TempDir()}
	state := httptest.NewServer(env.store)
	t.Cleanup(state.Close)
	follower := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_ = json.NewEncoder(w).Encode(recoverer.Status{Leader: "perch-1"})
	}
	for _, handler := range []http.HandlerFunc{follower, leaderHandler} {
		srv := httptest.NewServer(handler)
		t.Cleanup(srv.Close)
		env.peers = append(env.peers, srv)
	}
	addr := func(server *httptest.Server) string { return server.Listener.Addr().(*net.TCPAddr).String() }
	raw, err := os.ReadFile("../../internal/settings/testdata/perch-0.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, r := range [][2]string{
		{`state = "127.0.0.1:2379"`, fmt.Sprintf("state = %q", addr(state))},
		{`cluster_listen = "127.0.0.1:8081"`, fmt.Sprintf("cluster_listen = %q", addr(env.peers[0]))},
		{`peer_addr = "127.0.0.2:8081"`, fmt.Sprintf("peer_addr = %q", addr(env.peers[1]))},
	} {
		if !strings.Contains(text, r[0]) {
			t.Fatalf("the example settings do not contain %s", r[0])
		}
		text = strings.Replace(text, r[0], r[1], 1)
	}
	env.config = filepath.Join(env.dir, "settings.toml")
	if err := os.WriteFile(env.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return env
}

// run executes a command line and returns its output. Errors must fit on one line.
func (e *operatorEnvironment) run(args ...string) (string, error) {
	e.t.Helper()
	var out bytes.Buffer
	cmd := newRootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append(args, "--config", e.config))
	err := cmd.ExecuteContext(e.t.Context())
	if err != nil && strings.Contains(err.Error(), "\n") {
		e.t.Errorf("%v: error has more than one line: %v", args, err)
	}
	return out.String(), err
}

// Snapshots are taken, pruned to --keep, verified, shown and imported page by page.
func TestSnapshotCommands(t *testing.T) {
	var imported []recoverer.ImportRequest
	env := newOperatorEnvironment(t, func(w http.ResponseWriter, r *http.Request) {
		var request recoverer.ImportRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || r.URL.Path != "/recovery/import" {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		imported = append(imported, request)
		_ = json.NewEncoder(w).Encode(recoverer.ImportResult{Same: len(request.Jobs)})
	})
	value := fmt.Sprintf(`{"stance":"done","tasks":2,"x":%q}`, strings.Repeat("x", 1000))
	for i := range 700 {
		env.store.Put(fmt.Sprintf("job/j-%d", i), json.RawMessage(value))
	}
	out := t.TempDir()
	var path string
	for range 3 {
		printed, err := env.run("snapshot", "--out", out, "--keep", "2")
		if err != nil {
			t.Fatal(err)
		}
		path = strings.TrimSpace(printed)
	}
	if files, _ := os.ReadDir(out); len(files) != 2 {
		t.Errorf("kept %v", files)
	}
	if printed, err := env.run("snapshot", "verify", path); err != nil || !strings.HasPrefix(printed, "whole: 700 records") {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := env.run("snapshot", "show", path); err != nil || !strings.Contains(printed, "jobs done   700") {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := env.run("snapshot", "show", path, "j-7"); err != nil || !strings.Contains(printed, `"tasks":2`) {
		t.Errorf("%s, %v", printed, err)
	}
	if _, err := env.run("snapshot", "show", path, "j-9999"); err == nil {
		t.Error("show succeeded for a job that is not in the snapshot")
	}
	printed, err := env.run("recover", "import", path)
	jobs := 0
	for _, request := range imported {
		jobs += len(request.Jobs)
	}
	if err != nil || len(imported) < 3 || jobs != 700 || !strings.Contains(printed, "700 the same") {
		t.Errorf("%d jobs on %d pages: %s, %v", jobs, len(imported), printed, err)
	}
	other := newOperatorEnvironment(t, nil)
	if _, err := other.run("recover", "import", path); err == nil || !strings.Contains(err.Error(), "belongs to deployment") {
		t.Errorf("into another deployment: %v", err)
	}
}

// Invalid arguments and corrupt files are rejected with an error of one line.
func TestCommandsRejectInvalidInput(t *testing.T) {
	env := newOperatorEnvironment(t, nil)
	bad := filepath.Join(env.dir, "bad")
	if err := os.WriteFile(bad, []byte("PAR1, but nothing of it"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"snapshot"},
		{"snapshot", "--out", filepath.Join(env.dir, "none")},
		{"snapshot", "--out", bad},
		{"snapshot", "--out", env.dir, "--keep", "-1"},
		{"snapshot", "--out", env.dir, "--every", "-1s"},
		{"snapshot", "verify", bad},
		{"snapshot", "verify", filepath.Join(env.dir, "none")},
		{"snapshot", "show", bad},
		{"recover", "import", bad},
		{"recover", "report"},
	} {
		if _, err := env.run(args...); err == nil {
			t.Errorf("%v succeeded", args)
		}
	}
	env.store.SetOutage(true)
	if _, err := env.run("snapshot", "--out", env.dir); err == nil {
		t.Error("a snapshot was taken during an outage")
	}
}

// The commands find the leader among the controllers and print its refusals unchanged.
func TestRecoverCommands(t *testing.T) {
	status := recoverer.Status{
		Phase: recoverer.Comparing, Lost: 3, Held: 1,
		HeldJobs: []recoverer.HeldStatus{{Job: "j-7", Why: "uncertain", Said: []string{"worker m-1: task 0 running"}}},
	}
	env := newOperatorEnvironment(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/recovery":
			_ = json.NewEncoder(w).Encode(status)
		case "/recovery/settle":
			var request controller.SettleRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			if request.As == "done" {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"error":"refused: tasks [0] are running"}`))
				return
			}
			_ = json.NewEncoder(w).Encode(request)
		}
	})
	for _, want := range []string{"comparing", "j-7", "worker m-1: task 0 running"} {
		if printed, err := env.run("recover", "status"); err != nil || !strings.Contains(printed, want) {
			t.Errorf("no %q in %s, %v", want, printed, err)
		}
	}
	var again recoverer.Status
	if printed, err := env.run("recover", "status", "--json"); err != nil || json.Unmarshal([]byte(printed), &again) != nil || again.Held != 1 {
		t.Errorf("%s, %v", printed, err)
	}
	if printed, err := env.run("recover", "settle", "j-7", "run"); err != nil || printed != "j-7 settled as run\n" {
		t.Errorf("%s, %v", printed, err)
	}
	if _, err := env.run("recover", "settle", "j-7", "done"); err == nil || err.Error() != "j-7: refused: tasks [0] are running" {
		t.Errorf("refused: %v", err)
	}
	page := filepath.Join(env.dir, "report.html")
	if _, err := env.run("recover", "report", "--out", page); err != nil {
		t.Error(err)
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "j-7") {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	env.peers[1].Close()
	if _, err := env.run("recover", "status"); err == nil || !strings.Contains(err.Error(), "no controller answered as the leader") {
		t.Errorf("without a leader: %v", err)
	}
}
