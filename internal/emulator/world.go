package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// World is the cloud, its machines, and the judge of the rules.
type World struct {
	Network  *Network
	Store    *KVStore
	Types    []jobs.MachineType
	BootTime time.Duration
	ListLag  time.Duration
	Workers  WorkerConfig
	Teams    []settings.Team

	mu             sync.Mutex
	ctx            context.Context
	machines       map[string]*rented
	charters       map[string][]string
	next           int
	cloudDown      bool
	specs          map[string]*jobs.Spec
	done           map[string]bool
	on             map[string]map[string]bool // task to machines
	cancelled      map[string]time.Time
	starts         int
	ends           map[string]int // of tasks that were on machines, by cause
	gangs          map[gangKey]*gang
	progress       map[string]time.Duration // that a gang has saved
	CancelDeadline time.Duration
	broken         []string
	trace          []string // what happened, in order
	born           time.Time
	asked          map[string]*asked
	JobEnded       func(id string) // a job's last task has ended
	// AddrOf is where the n-th machine listens, and Describe a job's description where no
	// user has uploaded it; both may be nil.
	AddrOf func(n int) string
	// HeartbeatAnswered is told of each report that was answered, and how long after the one before.
	HeartbeatAnswered func(at time.Time, gap time.Duration)
	LookUpSpec        func(id string) *jobs.Spec
	capacity          int
	alive             sync.WaitGroup
}

// Wait waits until all machines have ended with their context.
func (w *World) Wait() { w.alive.Wait() }

type rented struct {
	w     *Worker
	typ   jobs.MachineType
	zone  string
	spot  bool
	since time.Time
	up    bool
}

// NewWorld makes a world whose machines live until the context ends.
func NewWorld(ctx context.Context, types []jobs.MachineType, pace WorkerConfig) *World {
	return &World{
		Network: NewNetwork(), Store: NewKVStore(), Types: types, BootTime: 10 * time.Second, ListLag: 4 * time.Second, Workers: pace, ctx: ctx,
		machines: map[string]*rented{}, charters: map[string][]string{}, specs: map[string]*jobs.Spec{}, done: map[string]bool{},
		born: time.Now(), asked: map[string]*asked{}, gangs: map[gangKey]*gang{}, progress: map[string]time.Duration{}, ends: map[string]int{}, on: map[string]map[string]bool{}, cancelled: map[string]time.Time{}, CancelDeadline: time.Hour, capacity: 1000,
	}
}

// Violations returns the rules that were broken.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// TaskStarts returns how many tasks have started.
func (w *World) TaskStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Why a task leaves its machine, besides the workers' causes.
const (
	EndOfLease   = "lease"
	EndOfMachine = "machine gone"
)

// TaskEnds returns how many tasks have left their machines, by cause.
func (w *World) TaskEnds() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.ends)
}

// SetCapacity limits how many machines can be rented at a time.
func (w *World) SetCapacity(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity = n
}

// SetCloudOutage starts or ends an outage of the cloud's interface.
func (w *World) SetCloudOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudDown = on
}

// UploadSpec gives workers a job's description; users do that.
func (w *World) UploadSpec(s *jobs.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[s.ID] = s
}

// toldCancelled notes that a user was told that a job is cancelled. When its time is
// over, no task of it may be anywhere.
func (w *World) toldCancelled(id string) {
	if _, ok := w.cancelled[id]; ok {
		return
	}
	w.cancelled[id] = time.Now()
	w.alive.Go(func() {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(w.CancelDeadline + time.Millisecond):
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for task, on := range w.on {
			if of, _, _ := workers.SplitTask(task); of == id && len(on) > 0 {
				w.breaks("ran_cancelled: %s on %v", task, on)
			}
		}
	})
}

// Machines returns the names of all machines that are up, in order.
func (w *World) Machines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, m := range w.machines {
		if m.up {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Worker returns a machine's worker.
func (w *World) Worker(id string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[id].w
}

// MachinesOf returns the machines that a task is on.
func (w *World) MachinesOf(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for m := range w.on[task] {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

// KillMachine takes a machine's power; the cloud goes on listing it.
func (w *World) KillMachine(id string) { w.Worker(id).kill() }

func (w *World) job(id string) *jobs.Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.specs[id] == nil && w.LookUpSpec != nil {
		if spec := w.LookUpSpec(id); spec != nil {
			w.specs[id] = spec
		}
	}
	return w.specs[id]
}

func (w *World) wasDone(id string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[workers.TaskName(id, n)]
}

// started judges a start by the rules.
func (w *World) started(wk *Worker, t workers.TaskStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	id, _, _ := workers.SplitTask(t.Name)
	job := w.specs[id]
	if len(w.on[t.Name]) > 0 {
		w.breaks("ran_twice: %s on %s, while on %v", t.Name, wk.rep.Machine, w.on[t.Name])
	}
	if w.on[t.Name] == nil {
		w.on[t.Name] = map[string]bool{}
	}
	w.on[t.Name][wk.rep.Machine] = true
	w.note("%s attempt %d starts on %s in %s", t.Name, t.Attempt, wk.rep.Machine, wk.rep.Zone)
	if at, ok := w.cancelled[id]; ok && time.Since(at) > w.CancelDeadline {
		w.breaks("ran_cancelled: %s starts", t.Name)
	}
	zones, cpus := map[string]int{}, 0.0
	for task, on := range w.on {
		other, _, _ := workers.SplitTask(task)
		for m := range on {
			if other == id {
				zones[w.machines[m].zone]++
			}
			if w.specs[other].Team == job.Team {
				cpus += w.specs[other].CPUs
			}
		}
	}
	for _, team := range w.Teams {
		if team.Name == job.Team && team.MaxCPUs > 0 && cpus > team.MaxCPUs+1e-6 {
			w.breaks("quota: %s uses %v for %s", team.Name, cpus, t.Name)
		}
	}
	if !job.Allows(wk.rep.Type, wk.rep.Zone, wk.rep.Spot) || job.OneZone && len(zones) > 1 || zones[wk.rep.Zone] > job.ZoneLimit() {
		w.breaks("wrong_place: %s on %s", t.Name, wk.rep.Machine)
	}
}

func (w *World) left(wk *Worker, t workers.TaskStatus, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on[t.Name], wk.rep.Machine)
	w.ends[cause]++
	w.note("%s attempt %d is off %s: %s", t.Name, t.Attempt, wk.rep.Machine, cause)
	if id, _, _ := workers.SplitTask(t.Name); w.specs[id] != nil && w.specs[id].Shape == jobs.Gang && cause != workers.CauseDone {
		w.gangLeft(t)
	}
	if cause == workers.CauseDone && !w.done[t.Name] {
		w.done[t.Name] = true
		if id, _, _ := workers.SplitTask(t.Name); w.JobEnded != nil && w.allDone(id) {
			go w.JobEnded(id)
		}
	}
}

// ServeHTTP is the cloud.
func (w *World) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	down := w.cloudDown
	w.mu.Unlock()
	if down {
		send(rw, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		send(rw, http.StatusOK, map[string]any{"perches": w.Types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		w.rent(rw, r)
	case r.URL.Path == "/rentals/release":
		var in struct {
			Hosts []string `json:"hosts"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		for _, id := range in.Hosts {
			w.mu.Lock()
			m := w.machines[id]
			w.mu.Unlock()
			if m != nil {
				m.w.kill()
				w.mu.Lock()
				m.up = false
				delete(w.machines, id)
				w.mu.Unlock()
			}
		}
		send(rw, http.StatusOK, nil)
	default:
		w.list(rw)
	}
}

func (w *World) rent(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Name  string `json:"charter"`
		Type  string `json:"perchKind"`
		Zone  string `json:"eyrie"`
		Spot  bool   `json:"driftwood"`
		Count int    `json:"number"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ids, ok := w.charters[in.Name]; ok {
		send(rw, http.StatusOK, map[string]any{"hosts": ids})
		return
	}
	n := min(in.Count, w.capacity-len(w.machines))
	if n <= 0 {
		send(rw, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	var ids []string
	for range n {
		for _, t := range w.Types {
			if t.Name == in.Type {
				ids = append(ids, w.add(t, in.Zone, in.Spot))
			}
		}
	}
	w.charters[in.Name] = ids
	send(rw, http.StatusOK, map[string]any{"hosts": ids})
}

func (w *World) add(t jobs.MachineType, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", w.next)
	addr := addrOf(w.next)
	if w.AddrOf != nil {
		addr = w.AddrOf(w.next)
	}
	w.next++
	ctx, cancel := context.WithCancel(w.ctx)
	wk := &Worker{
		world: w, pace: w.Workers, kind: t, cancel: cancel, images: map[string]bool{}, nudge: make(chan struct{}, 1),
		rep: workers.Heartbeat{Machine: id, Addr: addr, Type: t.Name, Zone: zone, Spot: spot, AgentEpoch: 1},
	}
	m := &rented{w: wk, typ: t, zone: zone, spot: spot, since: time.Now()}
	w.machines[id] = m
	w.alive.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.BootTime):
		}
		w.mu.Lock()
		m.up = true
		w.mu.Unlock()
		wk.mu.Lock()
		wk.answered = time.Now()
		wk.mu.Unlock()
		w.Network.Attach(id, addr, wk)
		wk.run(ctx)
	})
	return id
}

func (w *World) list(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := []map[string]any{}
	var ids []string
	for id, m := range w.machines {
		if time.Since(m.since) >= w.ListLag {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := w.machines[id]
		state := "booting"
		if m.up {
			state = "running"
		}
		hosts = append(hosts, map[string]any{
			"id": id, "addr": m.w.rep.Addr, "perchKind": m.typ.Name, "eyrie": m.zone, "driftwood": m.spot,
			"stance": state, "ageS": time.Since(m.since).Seconds(),
		})
	}
	send(rw, http.StatusOK, map[string]any{"hosts": hosts, "hasNext": false})
}

// Summary says on one line what is where, for failing tests.
func (w *World) Summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var parts []string
	for task, on := range w.on {
		if len(on) > 0 {
			parts = append(parts, fmt.Sprintf("%s on %v", task, on))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, "; ")
}

// ZoneOf returns the zone of a machine, and nothing for other hosts.
func (w *World) ZoneOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[host]; m != nil {
		return m.zone
	}
	return ""
}

// RunningTasks returns all tasks that are on machines, in order.
func (w *World) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := []string{}
	for task, on := range w.on {
		if len(on) > 0 {
			running = append(running, task)
		}
	}
	sort.Strings(running)
	return running
}
