package cluster

import (
	"encoding/base64"
	"strings"
)

// Completions is which tasks of a job are done, and how much of that is durable. For the
// assignment log the tasks are parted into chunks of a fixed size.
type Completions struct {
	Count  int // of done tasks
	Chunks map[int]*Chunk
	bits   []uint64 // one a task
}

// Chunk is what the assignment log has of the completions of one range of tasks.
type Chunk struct {
	Segment  *Segment // where it was last written
	Dirty    bool     // queued to be written
	Saved    bool     // every completion so far is durable
	Moving   bool     // being written on another segment, with the outcome unknown
	TooLarge bool     // no segment can hold it
}

// ChunkRef names a chunk of a job's completions.
type ChunkRef struct {
	Job   *Job
	Index int
}

// wordBits is how many tasks one word of the completions covers.
const wordBits = 64

func newCompletions(tasks int) Completions {
	return Completions{bits: make([]uint64, (tasks+wordBits-1)/wordBits), Chunks: map[int]*Chunk{}}
}

// IsTaskDone tells whether a task is done.
func (j *Job) IsTaskDone(index int) bool {
	return j.Completions.bits[index/wordBits]&(1<<(index%wordBits)) != 0
}

// MarkTaskDone notes that a task is done, and tells whether that is new.
func (j *Job) MarkTaskDone(index int) (isNew bool) {
	if j.IsTaskDone(index) {
		return false
	}
	j.Completions.bits[index/wordBits] |= 1 << (index % wordBits)
	j.Completions.Count++
	if j.Assignments[index] == nil {
		j.Pending.Count--
	}
	return true
}

// GrowTo makes room for more tasks in a job of which only the end is recorded, so that the
// number of its tasks is not.
func (j *Job) GrowTo(tasks int) {
	j.Spec.Tasks = tasks
	missing := (tasks+wordBits-1)/wordBits - len(j.Completions.bits)
	j.Completions.bits = append(j.Completions.bits, make([]uint64, missing)...)
}

// EncodeChunk returns the completions of a chunk as stored: bits, least significant first,
// in base64, without trailing zero bytes. The size is in tasks.
func (j *Job) EncodeChunk(chunk, size int) string {
	bits := j.Completions.bits
	from, to := chunk*size/wordBits, min((chunk+1)*size/wordBits, len(bits))
	raw := make([]byte, 0, (to-from)*8)
	for _, word := range bits[from:to] {
		for i := 0; i < 8; i++ {
			raw = append(raw, byte(word>>(8*i)))
		}
	}
	return base64.StdEncoding.EncodeToString([]byte(strings.TrimRight(string(raw), "\x00")))
}

// DecodeChunk marks the tasks as done that a stored chunk names. The size is in tasks. What
// is not base64 is an error, and nothing is marked then.
func (j *Job) DecodeChunk(chunk, size int, encoded string) error {
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return err
	}
	for i, octet := range raw {
		for bit := range 8 {
			index := chunk*size + 8*i + bit
			if octet&(1<<bit) != 0 && index < j.Spec.Tasks {
				j.MarkTaskDone(index)
			}
		}
	}
	return nil
}
