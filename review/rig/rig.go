package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of the deployment, as in the users' deployment page.
const (
	reportS  = 1.5
	leaseS   = 10.0
	cancelS  = 30.0
	listLagS = 5.0
	valueKB  = 32
	txnOps   = 12
)

// rig is a small deployment on loopback: three real controllers, and stand-ins for all else.
type rig struct {
	dir    string // for settings and logs
	record *record
	truth  *truth
	state  *stateService
	cloud  *cloudService
	nodes  []*node

	reportEvery, lease, listLag time.Duration
	stateAddr, cloudAddr        string
}

// node is a controller.
type node struct {
	name, zone, bind, cluster string
	process                   *exec.Cmd
}

// platform describes what differs from case to case.
type platform struct {
	types    []machineType
	boot     time.Duration
	machines int // that the cloud has to give
}

func newRig(rec *record, p platform) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, record: rec, truth: newTruth(rec), state: newStateService(valueKB, txnOps),
		reportEvery: toDuration(reportS), lease: toDuration(leaseS), listLag: toDuration(listLagS),
	}
	r.cloud = newCloudService(r, p.types, p.boot, p.machines)
	if r.stateAddr, err = serve(r.state); err != nil {
		return nil, err
	}
	if r.cloudAddr, err = serve(r.cloud); err != nil {
		return nil, err
	}
	for i, zone := range []string{"a", "b", "c"} {
		n := &node{name: fmt.Sprintf("perch-%d", i), zone: zone}
		if n.bind, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.cluster, err = freeAddr(); err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, n)
	}
	return r, nil
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serve serves a stand-in on a free port.
func serve(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Ports of the controllers. They lie below those that the kernel gives to outgoing connections, which
// could otherwise take the port of a controller that is being restarted.
const (
	firstPort = 12_000
	portCount = 20_000
)

// freeAddr returns a loopback address whose port is free.
func freeAddr() (addr string, err error) {
	for range 100 {
		var listener net.Listener
		addr = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(portCount))
		if listener, err = net.Listen("tcp", addr); err == nil {
			return addr, listener.Close()
		}
	}
	return "", err
}

// settings returns the settings file of a controller. next is the text of deployment.state.next, or
// empty.
func (r *rig) settings(n *node, next string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nlocation = %q\nbind = %q\ncluster_listen = %q\n", n.name, n.zone, n.bind, n.cluster)
	for _, other := range r.nodes {
		if other != n {
			fmt.Fprintf(&b, "\n[[peers]]\nnode_name = %q\nlocation = %q\npeer_addr = %q\n", other.name, other.zone, other.cluster)
		}
	}
	fmt.Fprintf(&b, "\n[endpoints]\ncloud = %q\nstate = %q\n", r.cloudAddr, r.stateAddr)
	fmt.Fprintf(&b, "\n[deployment]\nnodes = 3\nzones = [\"a\", \"b\", \"c\"]\nclock_off_ms = 1000.0\n")
	fmt.Fprintf(&b, "\n[[deployment.teams]]\nname = \"deskfolk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n")
	fmt.Fprintf(&b, "\n[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n", reportS, leaseS, cancelS)
	fmt.Fprintf(&b, "\n[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = %d.0\ntxn_ops = %d\n", valueKB, txnOps)
	b.WriteString(next)
	fmt.Fprintf(&b, "\n[deployment.cloud]\nrps = 6.0\nlist_lag_s = %.1f\n", listLagS)
	b.WriteString("\n[deployment.machine_limits]\ncores = 1.0\nmemory_mb = 342.0\nmax_sockets = 5000\n")
	return b.String()
}

// start starts a controller with the command of the deploy file.
func (r *rig) start(n *node, next string) error {
	path := filepath.Join(r.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(r.settings(n, next)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command("target/ospreyslip", "--config", path)
	n.process.Stderr = log
	n.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := n.process.Start(); err != nil {
		return err
	}
	r.record.add("rig", "%s started, process %d", n.name, n.process.Process.Pid)
	return nil
}

// kill ends a controller without a last word.
func (r *rig) kill(n *node) {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
	r.record.add("rig", "%s killed", n.name)
}

// startAll starts all controllers and waits until each is ready.
func (r *rig) startAll() error {
	for _, n := range r.nodes {
		if err := r.start(n, ""); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) awaitReady(n *node) error {
	for range 100 {
		if response, err := http.Get("http://" + n.bind + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s does not become ready", n.name)
}

// close ends all controllers and removes the temporary folder.
func (r *rig) close() {
	for _, n := range r.nodes {
		r.kill(n)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// request sends a user's request and records it with its answer.
func (r *rig) request(n *node, method, path, body string) (status int, answer string, err error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(method, "http://"+n.bind+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	shown := body
	if len(shown) > 400 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:400], len(body))
	}
	r.record.add("user", "%s: %s %s %s", n.name, method, path, shown)
	response, err := client.Do(request)
	if err != nil {
		r.record.add("user", "%s: no answer: %v", n.name, err)
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	answer = strings.TrimSpace(string(raw))
	r.record.add("user", "%s: %d %s", n.name, response.StatusCode, answer)
	return response.StatusCode, answer, err
}

// submit submits a job as users do: it repeats the request on each status that says nothing, for up
// to 60 s. It returns the first definite status.
func (r *rig) submit(n *node, body string) (status int, answer string) {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		status, answer, _ = r.request(n, http.MethodPost, "/v1/jobs", body)
		if slices.Contains([]int{200, 201, 400, 422}, status) {
			return status, answer
		}
	}
	return status, answer
}

// poll asks for a job until there is a definite answer, for up to 30 s.
func (r *rig) poll(n *node, id string) (status int, stance string) {
	for range 15 {
		status, answer, _ := r.request(n, http.MethodGet, "/v1/jobs/"+id, "")
		if status == http.StatusOK || status == http.StatusNotFound {
			var view struct {
				Stance string `json:"stance"`
			}
			_ = json.Unmarshal([]byte(answer), &view)
			return status, view.Stance
		}
		time.Sleep(2 * time.Second)
	}
	return 0, ""
}

// submission is what a user submits. runS, which is not sent, is the true run time of a task, and
// longS that of the tasks from number longFrom on, if it is not 0.
type submission struct {
	ID        string   `json:"id"`
	Flock     string   `json:"flock"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Talons    int      `json:"talons"`
	VCPUs     float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	RAMGB     float64  `json:"ramGb"`
	Plumage   string   `json:"plumage"`
	ImageGB   float64  `json:"imageGb"`
	Perches   []string `json:"perches"`
	Eyrie     *string  `json:"eyrie"`
	SamePlace bool     `json:"samePlace"`
	Scatter   bool     `json:"scatter"`
	Driftwood bool     `json:"driftwood"`
	FlightS   float64  `json:"flightS"`
	RoostS    float64  `json:"roostS"`
	StashS    float64  `json:"stashS"`
	DuskS     *float64 `json:"duskS"`

	runS, longS float64
	longFrom    int
}

// trueRunS returns the true run time of a task, by its name.
func (s *submission) trueRunS(talon string) float64 {
	if number, err := strconv.Atoi(talon[strings.Index(talon, "/")+1:]); err == nil && s.longS > 0 && number >= s.longFrom {
		return s.longS
	}
	return s.runS
}

// batch returns an array of tasks of one CPU.
func batch(id string, talons int, runS float64) submission {
	return submission{
		ID: id, Flock: "nightmark", Crew: "deskfolk", Shape: "batch", Rank: "standard", Talons: talons, VCPUs: 1, RAMGB: 1,
		Plumage: "img-01", ImageGB: 0.2, FlightS: runS, runS: runS,
	}
}

// service returns a service with replicas of one CPU.
func service(id string, talons int) submission {
	s := batch(id, talons, 0)
	s.Flock, s.Shape, s.Rank = "classlamp", "daemon", "prod"
	return s
}

func (s submission) body() string {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// truth knows what really runs, and what users have uploaded for the workers.
type truth struct {
	record *record
	mu     sync.Mutex
	jobs   map[string]*submission
	on     map[string]string // machine by task
	done   map[string]bool
	starts map[string]int
	broken []string
}

func newTruth(rec *record) *truth {
	return &truth{record: rec, jobs: map[string]*submission{}, on: map[string]string{}, done: map[string]bool{}, starts: map[string]int{}}
}

// upload makes a job's description known to workers.
func (t *truth) upload(s submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[s.ID] = &s
}

func (t *truth) uploaded(id string) *submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[id]
}

func (t *truth) started(name, machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if other := t.on[name]; other != "" {
		t.broken = append(t.broken, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", name, machine, other))
	}
	t.on[name] = machine
	t.starts[name]++
	if t.starts[name] <= 3 && len(t.on) <= 40 {
		t.record.add("truth", "%s starts on %s", name, machine)
	}
}

func (t *truth) left(name, machine, cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.on, name)
	if cause == "done" {
		t.done[name] = true
	}
	if t.starts[name] <= 3 && len(t.starts) <= 40 {
		t.record.add("truth", "%s leaves %s: %s", name, machine, cause)
	}
}

func (t *truth) isDone(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done[name]
}

// countOf returns how many tasks of a job are on machines, are done, and how often they started.
func (t *truth) countOf(id string) (running, done, starts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.on {
		if strings.HasPrefix(name, id+"/") {
			running++
		}
	}
	for name, isDone := range t.done {
		if isDone && strings.HasPrefix(name, id+"/") {
			done++
		}
	}
	for name, n := range t.starts {
		if strings.HasPrefix(name, id+"/") {
			starts += n
		}
	}
	return running, done, starts
}

// machineOf returns the machine that a task is on, or "".
func (t *truth) machineOf(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.on[name]
}

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.WriteCloser
	began time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: out, began: time.Now()}, nil
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.2f %-6s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}
