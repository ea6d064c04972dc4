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

// Phase is the phase of a machine's life from its provisioning to its release.
type Phase int

// The phases.
const (
	Booting   Phase = iota // provisioned, but its worker has not reported
	Up                     // its worker has reported
	Releasing              // being released to the cloud
)

// Machine is the leader's state of a provisioned machine.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	Phase                Phase

	Worker   WorkerState
	Commands CommandState
	Health   Health
	Cloud    CloudState

	Assignments map[uint64]*Assignment // by attempt
	Used        placement.Resources    // used by the assignments with CountsAsUsed
	// UnassignedBytes is what the worker's heartbeats need beyond the bytes in Used, most of it for listed tasks without
	// an assignment.
	UnassignedBytes float64
	Offer           *placement.Machine // the machine as input for placement
	TickGroup       int                // the tick of each control interval in which it is checked

	images   []image // cached on the machine, the most recently used last
	setIndex int     // in MachineSet.All
}

// WorkerState is the state reported by the machine's worker.
type WorkerState struct {
	AgentEpoch      uint64                // a new epoch starts when the lease expires
	Seq             uint64                // of the newest message: a heartbeat or a response to a request
	Token           uint64                // the highest fencing token that the worker has seen
	Tasks           []workers.TaskStatus  // of the newest message
	ObservedAt      time.Time             // when the newest message arrived; zero if none has arrived in this term
	HeartbeatBytes  int                   // size of the last heartbeat
	UnobservedFor   time.Duration         // from the message before the newest one to that; noEarlierMessage if there was none
	NewestHeartbeat liveness.HeartbeatSeq // responses to commands and probes are not counted
	HeartbeatAt     time.Time             // when the last heartbeat arrived; zero if none has arrived in this term
	LeaseUntil      time.Time             // a worker silent until then has ended its tasks
}

// noEarlierMessage is the value of WorkerState.UnobservedFor after the first message of a term.
const noEarlierMessage time.Duration = -1

// RecordMessage records that a message has arrived.
func (w *WorkerState) RecordMessage(now time.Time) {
	w.UnobservedFor = now.Sub(w.ObservedAt)
	if w.ObservedAt.IsZero() {
		w.UnobservedFor = noEarlierMessage
	}
	w.ObservedAt = now
}

// ChangesAreRecent reports whether what the newest message shows for the first time happened within the given
// time before it.
func (w *WorkerState) ChangesAreRecent(within time.Duration) bool {
	return w.UnobservedFor != noEarlierMessage && w.UnobservedFor <= within
}

// OversizedBytes returns the size of the last heartbeat if it is larger than the protocol allows, and otherwise 0.
func (w *WorkerState) OversizedBytes() int {
	if w.HeartbeatBytes <= workers.MaxMessageBytes {
		return 0
	}
	return w.HeartbeatBytes
}

// CommandState is the state of the delivery of commands to the machine's worker.
type CommandState struct {
	NotifyPending        bool // a command request is to be sent at once
	RequestInFlight      bool
	RetryAfter           time.Time          // no request is sent before this time
	FailedRequests       int                // consecutive failed requests
	InDoubtSince         time.Time          // since when a request is in doubt; zero if none is
	StartedByRequest     map[TaskRef]uint64 // tasks started by a direct request, with its fencing token
	NeedsHigherToken     bool               // ended tasks wait for the worker to see a higher token
	LastResponse         []workers.Command  // the commands of the last response to a heartbeat
	UndeliveredResponses int                // consecutive responses without any executed command
}

// Health is the state that can exclude a machine from new work.
type Health struct {
	Dead        bool            // declared dead by the failure detector
	Draining    bool            // gets no new tasks until it is released
	SlowLogOdds float64         // log odds, by completed tasks, that the machine is a straggler
	SlowUntil   time.Time       // until when the machine counts as a straggler without being judged again
	SlowPeriods int             // how often the machine was found to be a straggler
	ReclaimAt   time.Time       // when the cloud reclaims the machine, by its notice; zero without one
	FailedJobs  map[string]bool // jobs that failed on the machine since a task last completed there

	avoidUntil map[string]time.Time // until when a job is not placed on the machine
}

// CloudState is the state of the machine in the cloud.
type CloudState struct {
	KnownSince         time.Time // when this leader learned of the machine, or its listed start
	IdleSince          time.Time
	ListedAt           time.Time // when the newest list that contains the machine was requested
	ListedRunningSince time.Time // when the machine was first listed as running
}

// image is an image in a machine's cache.
type image struct {
	name string
	gb   float64
}

// NewMachine returns a machine with the given ID that is known, and idle, since now.
func NewMachine(id string, now time.Time) *Machine {
	return &Machine{
		ID: id, TickGroup: tickGroup(id), Assignments: map[uint64]*Assignment{},
		Cloud:    CloudState{KnownSince: now, IdleSince: now},
		Commands: CommandState{StartedByRequest: map[TaskRef]uint64{}},
		Health:   Health{FailedJobs: map[string]bool{}, avoidUntil: map[string]time.Time{}},
		Offer: &placement.Machine{
			ID: id, Images: map[string]bool{}, Fetching: map[string]float64{}, AvoidJobs: map[string]bool{},
		},
	}
}

// InUse returns the resources of the machine that no further task may use.
func (m *Machine) InUse() placement.Resources {
	used := m.Used
	used.HeartbeatBytes += m.UnassignedBytes
	return used
}

// tickGroup distributes machines evenly over the ticks of a control interval, by a hash of the ID.
func tickGroup(id string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return int(sum.Sum32() % TickGroups)
}

// FindAssignment returns the assignment of a task that the worker lists, or nil.
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

// CacheImage records that the machine has the image of a job in its cache. It keeps the most
// recently used images that fit into capacityGB. If that is 0, the capacity is unknown and no image
// is evicted.
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

// AvoidJobUntil excludes a job from placement on the machine until the given time.
func (m *Machine) AvoidJobUntil(job string, until time.Time) {
	m.Health.avoidUntil[job], m.Offer.AvoidJobs[job] = until, true
}

// ExpireAvoidance ends the exclusions of jobs whose time has passed, and reports whether there were
// any.
func (m *Machine) ExpireAvoidance(now time.Time) (expired bool) {
	for job, until := range m.Health.avoidUntil {
		if now.After(until) {
			delete(m.Health.avoidUntil, job)
			delete(m.Offer.AvoidJobs, job)
			expired = true
		}
	}
	return expired
}
