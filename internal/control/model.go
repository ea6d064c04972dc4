// Package control is the leader: one goroutine owns its picture of jobs and
// machines, and everything it decides is durable before a worker hears of it.
package control

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// machinePrefix holds one key for each machine that has tasks.
const machinePrefix = "machine/"

// machineRecord is what the state service keeps of a machine: the tasks that
// are, or may be, on it.
type machineRecord struct {
	Addr    string       `json:"addr"`
	Type    string       `json:"type"`
	Zone    string       `json:"zone"`
	Spot    bool         `json:"spot,omitempty"`
	Session uint64       `json:"session"`
	Dead    bool         `json:"dead,omitempty"`
	Tasks   []taskRecord `json:"tasks,omitempty"`
}

// taskRecord is one assignment. Its attempt is unique among all tasks.
type taskRecord struct {
	Job     string `json:"j"`
	N       int    `json:"n"`
	Attempt uint64 `json:"a"`
}

// job is an unfinished job, or an ended one whose tasks are not all gone.
type job struct {
	id        string
	spec      *jobs.Spec
	mark      uint64 // revision of its record
	order     uint64 // revision of its acceptance
	atMs      int64
	cancelled bool
	final     bool // done is written, or being written
	done      []uint64
	doneCount int
	chunks    map[int]*chunk
	tasks     map[int]*assignment // where a task is, or may be
	next      int                 // no task below is pending for the first time
	again     []int               // lost or stopped tasks, to be placed again
	zones     map[string]int
	ranS      float64 // what its completed tasks took in all
	ranCount  int
	errors    int // failures in a row, over all machines
	notBefore time.Time
	shown     jobs.Counts
}

type chunk struct {
	mark  uint64
	dirty bool
	saved bool // every bit set so far is durable
}

func newJob(id string, spec *jobs.Spec, mark uint64, atMs int64) *job {
	return &job{
		id: id, spec: spec, mark: mark, order: mark, atMs: atMs,
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
	return true
}

// pending returns up to most tasks that wait for a machine.
func (j *job) pending(most int) []int {
	var out []int
	for _, n := range j.again {
		if len(out) < most {
			out = append(out, n)
		}
	}
	for n := j.next; n < j.spec.Tasks && len(out) < most; n++ {
		if j.tasks[n] == nil && !j.isDone(n) {
			out = append(out, n)
		}
	}
	return out
}

// taken notes that a pending task has been assigned.
func (j *job) taken(n int) {
	for i, a := range j.again {
		if a == n {
			j.again = append(j.again[:i], j.again[i+1:]...)
			return
		}
	}
	for j.next < j.spec.Tasks && (j.tasks[j.next] != nil || j.isDone(j.next)) {
		j.next++
	}
}

// givenBack notes that a task is off its machine and not done.
func (j *job) givenBack(n int) {
	if n < j.next {
		j.again = append(j.again, n)
	}
}

func (j *job) over() bool { return j.cancelled || j.final }

func chunkKey(id string, c int) string { return fmt.Sprintf("%s%s/%d", jobs.ChunkPrefix, id, c) }

// chunkValue packs the completions of one chunk of tasks.
func (j *job) chunkValue(c, size int) json.RawMessage {
	lo, hi := c*size/64, min((c+1)*size/64, len(j.done))
	buf := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.done[lo:hi] {
		for b := 0; b < 8; b++ {
			buf = append(buf, byte(w>>(8*b)))
		}
	}
	raw, _ := json.Marshal(base64.StdEncoding.EncodeToString(buf))
	return raw
}

// loadChunk takes in the completions that an earlier leader wrote.
func (j *job) loadChunk(c, size int, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	buf, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	lo := c * size / 64
	for i, b := range buf {
		if w := lo + i/8; w < len(j.done) {
			j.done[w] |= uint64(b) << (8 * (i % 8))
		}
	}
	j.doneCount = 0
	for _, w := range j.done {
		j.doneCount += bits.OnesCount64(w)
	}
	return nil
}

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
	attempt uint64
	session uint64
	m       *machine

	restored bool      // found in the records: nobody here saw it begin
	durable  bool      // written: the worker may hear of it
	outcome  outcome   // over, as soon as the record without it is durable
	inRoom   bool      // counts in the machine's room
	seen     string    // state in the newest picture, empty if absent
	born     time.Time // when this leader made or found it
	since    time.Time // when it was seen to start running, else as born
	sent     bool      // a run went out and is not yet known to have failed
	ordered  bool      // it went out in an order that has not returned
	doubt    uint64    // a run under this token may still arrive
	stop     bool      // shall stop
	grace    float64
}

func (a *assignment) name() string { return workers.TaskName(a.job.id, a.n) }

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
	token               uint64 // highest the worker has shown
	picture             []workers.Task
	reported            time.Time // when its last report came
	leaseUntil          time.Time // by then a worker unheard has ended its tasks
	assigned            map[uint64]*assignment
	room                placement.Amount // taken by assignments
	images              map[string]time.Time
	avoid               map[string]time.Time
	mark                uint64 // revision of its record
	dirty               bool
	dead                bool // the verdict is out
	draining            bool
	slow                bool // runs tasks much slower than others do: no batch work
	noticeUntil         time.Time
	known               time.Time // when this leader learnt of it
	idleSince           time.Time
	poke                bool // has something to be told at once
	orderBusy           bool
	orderAfter          time.Time
	doubtSince          time.Time
	failures            map[string]bool // jobs that failed here since one succeeded
}

func newMachine(id string, now time.Time) *machine {
	return &machine{
		id: id, known: now, idleSince: now,
		assigned: map[uint64]*assignment{}, images: map[string]time.Time{},
		avoid: map[string]time.Time{}, failures: map[string]bool{},
	}
}
