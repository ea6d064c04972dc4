// Package control is the leader: one goroutine owns its picture of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package control

import (
	"hash/fnv"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// job is an unfinished job, or an ended one whose tasks are not all gone.
type job struct {
	id        string
	spec      *jobs.Spec
	revision  uint64 // of its record
	order     uint64 // revision of its acceptance
	atMs      int64
	cancelled bool
	heard     time.Time // when this leader heard that it is cancelled
	final     bool      // done is written, or being written
	done      []uint64
	doneCount int
	chunks    map[int]*chunk
	tasks     map[int]*assignment // where a task is, or may be
	next      int                 // no task below is pending for the first time
	again     []int               // lost or stopped tasks, to be placed again
	waiting   int                 // tasks that wait for a machine
	running   int                 // tasks seen running
	zones     map[string]int
	served    time.Time // when a task was last found to have lasted, or the job was accepted
	covered   bool      // within its team's guarantee
	coveredAt time.Time // since when
	tooks     []float64 // how long its completed tasks ran, as logarithms, in order
	gang      gangAttempt
	whole     time.Time // since when all tasks of a gang wait
	clearing  time.Time // when room was last being made for all of a gang
	errors    int       // failures in a row, over all machines
	notBefore time.Time
	shown     jobs.Counts
}

type chunk struct {
	home   *segment // where it was last written
	dirty  bool
	saved  bool // every bit set so far is durable
	moving bool // to another segment, outcome open
	large  bool // no segment holds it
}

type chunkRef struct {
	j *job
	c int
}

func newJob(id string, spec *jobs.Spec, revision uint64, atMs int64, now time.Time) *job {
	return &job{
		id: id, spec: spec, revision: revision, order: revision, atMs: atMs, waiting: spec.Tasks, served: now, whole: now,
		done: make([]uint64, (spec.Tasks+63)/64), chunks: map[int]*chunk{},
		tasks: map[int]*assignment{}, zones: map[string]int{},
	}
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

func (j *job) setDone(n int) bool {
	if j.isDone(n) {
		return false
	}
	j.done[n/64] |= 1 << (n % 64)
	j.doneCount++
	if j.tasks[n] == nil {
		j.waiting--
	}
	return true
}

// grow makes room for a task of a job of which only the end is known.
func (j *job) grow(tasks int) {
	j.spec.Tasks = tasks
	j.done = append(j.done, make([]uint64, (tasks+63)/64-len(j.done))...)
}

// take gives out the next task that waits for a machine.
func (j *job) take() int {
	j.waiting--
	if n := len(j.again); n > 0 {
		last := j.again[n-1]
		j.again = j.again[:n-1]
		return last
	}
	for j.tasks[j.next] != nil || j.isDone(j.next) {
		j.next++
	}
	j.next++
	return j.next - 1
}

// giveBack notes that a task is off its machine and not done.
func (j *job) giveBack(n int) {
	j.waiting++
	if n < j.next {
		j.again = append(j.again, n)
	}
}

func (j *job) over() bool { return j.cancelled || j.final }

// The outcome of an assignment that is over.
type outcome int

const (
	open    outcome = iota
	retry           // off the machine, not done
	success         // done
)

// assignment is a task on a machine, from the decision until its end is durable.
type assignment struct {
	job     *job
	n       int
	task    string
	attempt uint64
	gang    uint64 // attempt of its whole gang; 0 for others
	session uint64
	m       *machine

	restored bool      // found in the records: nobody here saw it begin
	home     *segment  // where its beginning is written
	durable  bool      // written: the worker may hear of it
	outcome  outcome   // over, as soon as that is durable
	ending   bool      // queued to be written as over
	closing  bool      // written as over, outcome open
	moving   bool      // its beginning is written on another segment, outcome open
	inRoom   bool      // counts in the machine's room
	seen     string    // state in the newest picture, empty if absent
	born     time.Time // when this leader made or found it
	since    time.Time // when it was seen to start running, else as born
	sent     bool      // a run went out and is not yet known to have failed
	ordered  bool      // it went out in an order that has not returned
	doubt    uint64    // a run under this token may still arrive
	overdue  bool      // its job had got nothing for too long
	stop     bool      // shall stop
	grace    float64
}

// name is the task's on the wire. It is compared with every report.
func (a *assignment) name() string {
	if a.task == "" {
		a.task = workers.TaskName(a.job.id, a.n)
	}
	return a.task
}

// phase of a machine.
type phase int

const (
	booting   phase = iota // rented, not heard of
	up                     // has reported
	returning              // being released
)

type machine struct {
	id, addr, typ, zone string
	spot                bool
	phase               phase
	session             uint64
	seq                 uint64
	lastReport          liveness.Counter // newest report, answers to calls aside
	token               uint64           // highest the worker has shown
	wantsToken          bool             // a higher one, if there is one: see tokenFor
	reportedTasks       []workers.Task
	reported            time.Time // when its last report came
	leaseUntil          time.Time // by then a worker unheard has ended its tasks
	assigned            map[uint64]*assignment
	room                placement.Amount   // taken by assignments
	offer               *placement.Machine // as placement sees it
	avoid               map[string]time.Time
	images              []image // that it has, the one used last at the end
	dead                bool    // the verdict is out
	draining            bool
	slowness            float64 // odds that it is slow by the tasks that ran on it, as a logarithm
	noticeUntil         time.Time
	known               time.Time // when this leader learnt of it
	at                  int       // index into all of its machineSet
	group               int       // the tick of a control interval in which it is looked at
	idleSince           time.Time
	notifyPending       bool // has something to be told at once
	orderBusy           bool
	orderAfter          time.Time
	orderFails          int // orders in a row that had no answer
	doubtSince          time.Time
	ordered             map[ref]uint64  // what was begun by an order, with its token
	failures            map[string]bool // jobs that failed here since one succeeded
	listed              time.Time       // when the newest list that had it was asked for
	lastCalls           []workers.Call  // what the last answer asked for
	undelivered         int             // answers in a row of which nothing came
}

// image is one that a machine keeps.
type image struct {
	name string
	gb   float64
}

// used notes that a machine has an image. It keeps those used last, as far as
// there is room for them.
func (m *machine) used(s *jobs.Spec, cacheGB float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == s.Image })
	m.images = append(m.images, image{s.Image, s.ImageGB})
	m.offer.Images[s.Image] = true
	delete(m.offer.Fetching, s.Image)
	held := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if held += m.images[i].gb; held > cacheGB && cacheGB > 0 {
			for _, old := range m.images[:i+1] {
				delete(m.offer.Images, old.name)
			}
			m.images = m.images[i+1:]
			return
		}
	}
}

func newMachine(id string, now time.Time) *machine {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return &machine{
		id: id, known: now, idleSince: now, group: int(sum.Sum32() % ticksPerInterval),
		assigned: map[uint64]*assignment{}, avoid: map[string]time.Time{}, failures: map[string]bool{}, ordered: map[ref]uint64{},
		offer: &placement.Machine{ID: id, Images: map[string]bool{}, Fetching: map[string]float64{}, Avoid: map[string]bool{}},
	}
}
