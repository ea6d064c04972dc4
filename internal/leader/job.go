package leader

import (
	"slices"
	"time"

	"ospreyslip/internal/jobs"
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
	endedAs   string    // by its record, where this leader found it over
	final     bool      // done is written, or being written
	recorded  bool      // done is written
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
	// While the assignment log may lack tasks of the job, none is placed, and those that
	// workers show are adopted: see recovery_adopt.go.
	adoptUntil time.Time
	doubled    map[int][]*assignment // earlier ones of a task, by a log that lacks their ends
	parts      map[int]gangPart      // of an attempt of a gang that is not known whole yet
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

// forgotten takes in that an assignment's end is durable, and tells whether its task is on no
// machine any more.
func (j *job) forgotten(a *assignment) bool {
	if others := j.doubled[a.n]; len(others) > 0 {
		left := slices.DeleteFunc(others, func(o *assignment) bool { return o == a })
		if j.tasks[a.n] == a {
			j.tasks[a.n], left = left[0], left[1:]
		}
		j.doubled[a.n] = left
		return false
	}
	if j.tasks[a.n] != a {
		return false
	}
	delete(j.tasks, a.n)
	return true
}

func (j *job) over() bool { return j.cancelled || j.final }
