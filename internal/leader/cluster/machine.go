package cluster

import (
	"hash/fnv"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// Phase is where a machine is between its rental and its release.
type Phase int

// The phases.
const (
	Booting   Phase = iota // rented, not heard of
	Up                     // its worker has reported
	Releasing              // being released to the cloud
)

// Machine is a rented machine as the leader sees it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	Phase                Phase

	Worker   WorkerState
	Commands CommandState
	Health   Health
	Rental   Rental

	Assignments map[uint64]*Assignment // by attempt
	Used        placement.Resources    // taken by the assignments that count
	Offer       *placement.Machine     // as placement sees it
	TickGroup   int                    // in which of the ticks of a control interval it is looked at

	images []image // cached on the machine, the most recently used last
	index  int     // in MachineSet.All
}

// WorkerState is what the machine's worker has shown.
type WorkerState struct {
	Session         uint64                // the worker's epoch, which begins anew when its lease expires
	Seq             uint64                // of the newest message, heartbeats and answers alike
	Token           uint64                // highest fencing token that the worker has seen
	Tasks           []workers.TaskStatus  // of the newest message
	NewestHeartbeat liveness.HeartbeatSeq // answers to commands and probes not counted
	HeartbeatAt     time.Time             // when the last heartbeat came; zero under a new leader
	LeaseUntil      time.Time             // a worker unheard until then has ended its tasks
}

// CommandState is the delivery of commands to the machine's worker.
type CommandState struct {
	NotifyPending      bool // there is something to be told at once
	RequestInFlight    bool
	RetryAfter         time.Time          // no request goes out before
	FailedRequests     int                // requests in a row without an answer
	InDoubtSince       time.Time          // since when a request's outcome is unknown; zero if none is
	StartedByRequest   map[TaskRef]uint64 // tasks that a request has started, with its token
	NeedsHigherToken   bool               // ended tasks wait for the worker to see a higher token
	LastAnswer         []workers.Command  // the commands of the last answer to a heartbeat
	UndeliveredAnswers int                // answers in a row of which nothing was carried out
}

// Health is what speaks against giving work to a machine.
type Health struct {
	Dead        bool // judged dead
	Draining    bool // takes no new tasks until it is released
	SlowLogOdds float64
	NoticeUntil time.Time       // when the cloud takes the machine away, as announced
	FailedJobs  map[string]bool // jobs that failed here since one succeeded

	avoid map[string]time.Time // jobs that are not placed here until then
}

// Rental is what is known of the machine from the cloud.
type Rental struct {
	KnownSince         time.Time // when this leader learnt of the machine, or the list's start of it
	IdleSince          time.Time
	ListedAt           time.Time // when the newest list that has the machine was asked for
	ListedRunningSince time.Time // since when the list has it as running
}

// image is one that a machine caches.
type image struct {
	name string
	gb   float64
}

// NewMachine makes a machine of which nothing but its id is known.
func NewMachine(id string, now time.Time) *Machine {
	return &Machine{
		ID: id, TickGroup: tickGroup(id), Assignments: map[uint64]*Assignment{},
		Rental:   Rental{KnownSince: now, IdleSince: now},
		Commands: CommandState{StartedByRequest: map[TaskRef]uint64{}},
		Health:   Health{FailedJobs: map[string]bool{}, avoid: map[string]time.Time{}},
		Offer: &placement.Machine{
			ID: id, Images: map[string]bool{}, Fetching: map[string]float64{}, AvoidJobs: map[string]bool{},
		},
	}
}

// tickGroup spreads machines evenly over the ticks of a control interval.
func tickGroup(id string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return int(sum.Sum32() % TickGroups)
}

// FindAssignment returns the assignment of a task that the worker shows, or nil.
func (m *Machine) FindAssignment(task TaskRef) *Assignment {
	if a := m.Assignments[task.Attempt]; a != nil {
		if a.GangAttempt == 0 && a.TaskName() == task.Task {
			return a
		}
		return nil
	}
	for _, a := range m.Assignments {
		if a.GangAttempt == task.Attempt && a.GangAttempt != 0 && a.TaskName() == task.Task {
			return a
		}
	}
	return nil
}

// CacheImage notes that a machine has a job's image. Of its images it keeps the most recently
// used ones that fit into the given capacity; 0 means that the capacity is not known.
func (m *Machine) CacheImage(spec *jobs.Spec, capacityGB float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == spec.Image })
	m.images = append(m.images, image{spec.Image, spec.ImageGB})
	m.Offer.Images[spec.Image] = true
	delete(m.Offer.Fetching, spec.Image)
	usedGB := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if usedGB += m.images[i].gb; usedGB > capacityGB && capacityGB > 0 {
			for _, evicted := range m.images[:i+1] {
				delete(m.Offer.Images, evicted.name)
			}
			m.images = m.images[i+1:]
			return
		}
	}
}

// AvoidJobUntil keeps a job off the machine for a while.
func (m *Machine) AvoidJobUntil(job string, until time.Time) {
	m.Health.avoid[job], m.Offer.AvoidJobs[job] = until, true
}

// ExpireAvoidance lets jobs back that are no longer to be kept off, and tells whether there
// were any.
func (m *Machine) ExpireAvoidance(now time.Time) (expired bool) {
	for job, until := range m.Health.avoid {
		if now.After(until) {
			delete(m.Health.avoid, job)
			delete(m.Offer.AvoidJobs, job)
			expired = true
		}
	}
	return expired
}
