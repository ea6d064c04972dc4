package emulator

import (
	"context"
	"sort"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// World is the cloud with its machines, the users, and the judge of the protocol's rules. Its
// methods may be called by several goroutines.
type World struct {
	Network *Network
	Store   *KVStore
	Workers WorkerConfig // of machines that are rented from now on

	Types    []jobs.MachineType // the cloud's catalog
	BootTime time.Duration      // from the rental of a machine until its worker reports
	ListLag  time.Duration      // by which the cloud's list of machines is behind

	Teams          []settings.Team // whose limits are judged
	CancelDeadline time.Duration   // from a cancellation until no task of the job may be anywhere

	// AddrOf is where the n-th machine listens; nil is an address of the emulated network.
	AddrOf func(n int) string
	// LookUpSpec returns a job's description where no user has uploaded it; it may be nil.
	LookUpSpec func(id string) *jobs.Spec
	// HeartbeatAnswered is told of each heartbeat that was answered, and of the time between
	// the sending of the answered one before and of this one; it may be nil.
	HeartbeatAnswered func(at time.Time, gap time.Duration)
	// JobEnded is called in a goroutine when a job's last task has completed; it may be nil.
	JobEnded func(id string)

	ctx     context.Context // the machines' life
	running sync.WaitGroup  // machines and deadlines

	mu     sync.Mutex
	cloud  cloud
	tasks  taskLedger
	record record
}

// cloud is what the cloud has rented out.
type cloud struct {
	machines    map[string]*machine // by name
	rentals     map[string][]string // names of machines by request
	nextMachine int                 // number of the next one
	capacity    int                 // machines that can be rented at a time
	outage      bool
}

type machine struct {
	worker      *Worker
	machineType jobs.MachineType
	zone        string
	spot        bool
	rentedAt    time.Time
	up          bool
}

// taskLedger is what truly became of jobs and their tasks.
type taskLedger struct {
	specs        map[string]*jobs.Spec      // of jobs, as uploaded
	machinesOf   map[string]map[string]bool // machines by task
	done         map[string]bool            // tasks that have completed
	cancelled    map[string]time.Time       // when a user was told so, by job
	starts       int
	ends         map[string]int // of tasks that were on machines, by cause
	gangs        map[gangKey]*gang
	gangProgress map[string]time.Duration // saved run time by job
}

// NewWorld makes a world whose machines live until the context ends.
func NewWorld(ctx context.Context, types []jobs.MachineType, config WorkerConfig) *World {
	return &World{
		Network: NewNetwork(), Store: NewKVStore(), Workers: config,
		Types: types, BootTime: 10 * time.Second, ListLag: 4 * time.Second, CancelDeadline: time.Hour,
		ctx:   ctx,
		cloud: cloud{machines: map[string]*machine{}, rentals: map[string][]string{}, capacity: 1000},
		tasks: taskLedger{
			specs: map[string]*jobs.Spec{}, machinesOf: map[string]map[string]bool{}, done: map[string]bool{},
			cancelled: map[string]time.Time{}, ends: map[string]int{},
			gangs: map[gangKey]*gang{}, gangProgress: map[string]time.Duration{},
		},
		record: record{began: time.Now(), asked: map[string]*userHistory{}},
	}
}

// Wait waits until all machines have ended with their context.
func (w *World) Wait() { w.running.Wait() }

// Machines returns the names of all machines that are up, in order.
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

// Worker returns a machine's worker.
func (w *World) Worker(id string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cloud.machines[id].worker
}

// KillMachine takes a machine's power; the cloud goes on listing it.
func (w *World) KillMachine(id string) { w.Worker(id).powerOff() }

// ZoneOf returns the zone of a machine, and nothing for other hosts.
func (w *World) ZoneOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.cloud.machines[host]; m != nil {
		return m.zone
	}
	return ""
}

// UploadSpec gives workers a job's description; users do that.
func (w *World) UploadSpec(spec *jobs.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.specs[spec.ID] = spec
}

// Spec returns a job's description as its user uploaded it.
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
