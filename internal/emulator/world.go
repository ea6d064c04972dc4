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
	Net   *Net
	State *State
	Types []jobs.MachineType
	Boot  time.Duration
	Lag   time.Duration
	Pace  Pace
	Teams []settings.Team

	mu        sync.Mutex
	ctx       context.Context
	machines  map[string]*rented
	charters  map[string][]string
	next      int
	cloudDown bool
	specs     map[string]*jobs.Spec
	done      map[string]bool
	on        map[string]map[string]bool // task to machines
	cancelled map[string]time.Time
	starts    int
	ends      map[string]int // of tasks that were on machines, by cause
	gangs     map[gangKey]*gang
	progress  map[string]time.Duration // that a gang has saved
	Cancel    time.Duration
	broken    []string
	trace     []string // what happened, in order
	born      time.Time
	asked     map[string]*asked
	Ended     func(id string) // a job's last task has ended
	// AddrOf is where the n-th machine listens, and Describe a job's description where no
	// user has uploaded it; both may be nil.
	AddrOf func(n int) string
	// Answered is told of each report that was answered, and how long after the one before.
	Answered func(at time.Time, gap time.Duration)
	Describe func(id string) *jobs.Spec
	capacity int
	alive    sync.WaitGroup
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
func NewWorld(ctx context.Context, types []jobs.MachineType, pace Pace) *World {
	return &World{
		Net: NewNet(), State: NewState(), Types: types, Boot: 10 * time.Second, Lag: 4 * time.Second, Pace: pace, ctx: ctx,
		machines: map[string]*rented{}, charters: map[string][]string{}, specs: map[string]*jobs.Spec{}, done: map[string]bool{},
		born: time.Now(), asked: map[string]*asked{}, gangs: map[gangKey]*gang{}, progress: map[string]time.Duration{}, ends: map[string]int{}, on: map[string]map[string]bool{}, cancelled: map[string]time.Time{}, Cancel: time.Hour, capacity: 1000,
	}
}

// Broken returns the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Starts returns how many tasks have started.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Why a task leaves its machine, besides the workers' causes.
const (
	EndOfLease   = "lease"
	EndOfMachine = "machine gone"
)

// Ends returns how many tasks have left their machines, by cause.
func (w *World) Ends() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.ends)
}

// Capacity limits how many machines can be rented at a time.
func (w *World) Capacity(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity = n
}

// CloudDown starts or ends an outage of the cloud's interface.
func (w *World) CloudDown(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudDown = on
}

// Upload gives workers a job's description; users do that.
func (w *World) Upload(s *jobs.Spec) {
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
		case <-time.After(w.Cancel + time.Millisecond):
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

// On returns the machines that a task is on.
func (w *World) On(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for m := range w.on[task] {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

// Kill takes a machine's power; the cloud goes on listing it.
func (w *World) Kill(id string) { w.Worker(id).kill() }

func (w *World) job(id string) *jobs.Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.specs[id] == nil && w.Describe != nil {
		if spec := w.Describe(id); spec != nil {
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
func (w *World) started(wk *Worker, t workers.Task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	id, _, _ := workers.SplitTask(t.Task)
	job := w.specs[id]
	if len(w.on[t.Task]) > 0 {
		w.breaks("ran_twice: %s on %s, while on %v", t.Task, wk.rep.Machine, w.on[t.Task])
	}
	if w.on[t.Task] == nil {
		w.on[t.Task] = map[string]bool{}
	}
	w.on[t.Task][wk.rep.Machine] = true
	w.note("%s attempt %d starts on %s in %s", t.Task, t.Attempt, wk.rep.Machine, wk.rep.Zone)
	if at, ok := w.cancelled[id]; ok && time.Since(at) > w.Cancel {
		w.breaks("ran_cancelled: %s starts", t.Task)
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
			w.breaks("quota: %s uses %v for %s", team.Name, cpus, t.Task)
		}
	}
	if !job.Allows(wk.rep.Type, wk.rep.Zone, wk.rep.Spot) || job.OneZone && len(zones) > 1 || zones[wk.rep.Zone] > job.ZoneLimit() {
		w.breaks("wrong_place: %s on %s", t.Task, wk.rep.Machine)
	}
}

func (w *World) left(wk *Worker, t workers.Task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on[t.Task], wk.rep.Machine)
	w.ends[cause]++
	w.note("%s attempt %d is off %s: %s", t.Task, t.Attempt, wk.rep.Machine, cause)
	if id, _, _ := workers.SplitTask(t.Task); w.specs[id] != nil && w.specs[id].Shape == jobs.Gang && cause != workers.CauseDone {
		w.gangLeft(t)
	}
	if cause == workers.CauseDone && !w.done[t.Task] {
		w.done[t.Task] = true
		if id, _, _ := workers.SplitTask(t.Task); w.Ended != nil && w.allDone(id) {
			go w.Ended(id)
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
		world: w, pace: w.Pace, kind: t, cancel: cancel, images: map[string]bool{}, nudge: make(chan struct{}, 1),
		rep: workers.Report{Machine: id, Addr: addr, Type: t.Name, Zone: zone, Spot: spot, Session: 1},
	}
	m := &rented{w: wk, typ: t, zone: zone, spot: spot, since: time.Now()}
	w.machines[id] = m
	w.alive.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.Boot):
		}
		w.mu.Lock()
		m.up = true
		w.mu.Unlock()
		wk.mu.Lock()
		wk.answered = time.Now()
		wk.mu.Unlock()
		w.Net.Attach(id, addr, wk)
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
		if time.Since(m.since) >= w.Lag {
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

// Running returns all tasks that are on machines, in order.
func (w *World) Running() []string {
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
