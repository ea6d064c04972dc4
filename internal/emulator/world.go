package emulator

import (
	"context"
	"sort"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// World emulates the cloud with its machines and the users, and records violations of the
// protocol's rules. Its methods are safe for concurrent use.
type World struct {
	Network *Network
	Store   *KVStore
	Workers WorkerConfig // for machines that are provisioned from now on

	Types    []jobs.MachineType // the machine types in the cloud's catalog
	BootTime time.Duration      // from provisioning a machine until its worker sends heartbeats
	ListLag  time.Duration      // how long a provisioned machine is missing from the cloud's list

	Teams          []settings.Team // teams whose CPU quotas are checked
	CancelDeadline time.Duration   // from a confirmed cancellation until no task of the job may run

	// AddrOf returns the address on which the n-th machine listens. If it is nil, machines get
	// addresses of the emulated network.
	AddrOf func(n int) string
	// LookUpSpec returns the description of a job that no user has uploaded, or nil if there is
	// none. It may be nil.
	LookUpSpec func(id string) *jobs.Spec
	// HeartbeatAnswered is called for each answered heartbeat with the current time and the time
	// between sending the previous answered heartbeat and this one. It may be nil.
	HeartbeatAnswered func(at time.Time, gap time.Duration)
	// JobCompleted is called in its own goroutine when the last task of a job completes. It may be
	// nil.
	JobCompleted func(id string)

	// RecordsAreKept says that the store loses no record, so that a job that was accepted must have one.
	RecordsAreKept bool
	// RunTimeOf returns the run time of a task of a batch job in seconds. If it is nil, it is the estimate of
	// the job's owner.
	RunTimeOf func(job *jobs.Spec, task int) float64

	ctx        context.Context // machines stop when it ends
	goroutines sync.WaitGroup  // goroutines of machines and of cancellation deadlines

	mu       sync.Mutex
	cloud    cloud
	tasks    taskState
	traceLog traceLog
}

// cloud is the state of the emulated cloud.
type cloud struct {
	machines    map[string]*machine // by name
	provisioned map[string][]string // names of machines, by name of the provisioning request
	nextMachine int                 // number of the next machine to be provisioned
	capacity    int                 // maximum number of machines that can be provisioned at a time
	outage      bool
}

type machine struct {
	worker        *Worker
	machineType   jobs.MachineType
	zone          string
	spot          bool
	provisionedAt time.Time
	up            bool // has booted and was not released
}

// taskState holds the actual state of jobs and their tasks, which may differ from what controllers
// know.
type taskState struct {
	specs        map[string]*jobs.Spec      // job descriptions as uploaded, by job
	machinesOf   map[string]map[string]bool // names of the machines that a task is on, by task
	done         map[string]bool            // whether a task has completed, by task
	cancelled    map[string]time.Time       // when a user was first told that a job is cancelled, by job
	starts       int
	startsByTask map[string]int // attempts that have started, by task
	ends         map[string]int // tasks that have left their machines, by cause
	gangs        map[gangKey]*gang
	gangProgress map[string]time.Duration // run time saved in checkpoints, by job
}

// NewWorld returns a World whose machines run until ctx is done.
func NewWorld(ctx context.Context, types []jobs.MachineType, config WorkerConfig) *World {
	return &World{
		Network: NewNetwork(), Store: NewKVStore(), Workers: config,
		Types: types, BootTime: 10 * time.Second, ListLag: 4 * time.Second, CancelDeadline: time.Hour,
		ctx:   ctx,
		cloud: cloud{machines: map[string]*machine{}, provisioned: map[string][]string{}, capacity: 1000},
		tasks: taskState{
			specs: map[string]*jobs.Spec{}, machinesOf: map[string]map[string]bool{}, done: map[string]bool{}, startsByTask: map[string]int{},
			cancelled: map[string]time.Time{}, ends: map[string]int{},
			gangs: map[gangKey]*gang{}, gangProgress: map[string]time.Duration{},
		},
		traceLog: traceLog{startedAt: time.Now(), userHistories: map[string]*userHistory{}},
	}
}

// Wait waits for the goroutines of all machines, which stop when the World's context is done.
func (w *World) Wait() { w.goroutines.Wait() }

// Machines returns the sorted names of all machines that have booted and were not released.
func (w *World) Machines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, m := range w.cloud.machines {
		if m.up {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Worker returns the worker of a machine. It panics if the machine does not exist.
func (w *World) Worker(id string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cloud.machines[id].worker
}

// KillMachine powers off a machine, which the cloud still lists.
func (w *World) KillMachine(id string) { w.Worker(id).powerOff() }

// ZoneOf returns the zone of a machine, or an empty string if host is not a machine.
func (w *World) ZoneOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.cloud.machines[host]; m != nil {
		return m.zone
	}
	return ""
}

// UploadSpec makes a job description available to workers, as users do.
func (w *World) UploadSpec(spec *jobs.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.specs[spec.ID] = spec
}

// Spec returns the description of a job, from its upload or from LookUpSpec, or nil.
func (w *World) Spec(id string) *jobs.Spec { return w.spec(id) }

func (w *World) spec(id string) *jobs.Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks.specs[id] == nil && w.LookUpSpec != nil {
		if spec := w.LookUpSpec(id); spec != nil {
			w.tasks.specs[id] = spec
		}
	}
	return w.tasks.specs[id]
}
