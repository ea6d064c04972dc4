package cluster

import (
	"encoding/base64"
	"strings"
)

// Completions records which tasks of a job are done, and which of these completions are durable.
// The assignment log stores them in chunks of a fixed number of tasks.
type Completions struct {
	Count    int // number of tasks that are done
	Chunks   map[int]*Chunk
	doneBits []uint64 // bit set of the tasks that are done
}

// Chunk is the state of the completions of one range of tasks in the assignment log.
type Chunk struct {
	Segment  *Segment // the segment to which the chunk was last written
	Dirty    bool     // queued to be written
	Saved    bool     // all completions so far are durable, or in the transaction in flight
	Moving   bool     // being written to another segment, with the outcome unknown
	TooLarge bool     // does not fit into any segment
}

// ChunkRef identifies a chunk of a job's completions.
type ChunkRef struct {
	Job   *Job
	Index int
}

// wordBits is the number of tasks per word of the bit set.
const wordBits = 64

func newCompletions(tasks int) Completions {
	return Completions{doneBits: make([]uint64, (tasks+wordBits-1)/wordBits), Chunks: map[int]*Chunk{}}
}

// IsTaskDone reports whether a task is done.
func (j *Job) IsTaskDone(index int) bool {
	return j.Completions.doneBits[index/wordBits]&(1<<(index%wordBits)) != 0
}

// MarkTaskDone marks a task as done and reports whether it was not done before.
func (j *Job) MarkTaskDone(index int) (isNew bool) {
	if j.IsTaskDone(index) {
		return false
	}
	j.Completions.doneBits[index/wordBits] |= 1 << (index % wordBits)
	j.Completions.Count++
	if j.Assignments[index] == nil {
		j.Pending.Count--
	}
	return true
}

// GrowTo raises the number of tasks of a job whose record holds only its end. Such a record does not
// include the number of tasks.
func (j *Job) GrowTo(tasks int) {
	j.Spec.Tasks = tasks
	missingWords := (tasks+wordBits-1)/wordBits - len(j.Completions.doneBits)
	j.Completions.doneBits = append(j.Completions.doneBits, make([]uint64, missingWords)...)
}

// EncodeChunk returns the stored form of a chunk of size tasks: a little-endian bit set without
// trailing zero bytes, in base64.
func (j *Job) EncodeChunk(chunk, size int) string {
	bits := j.Completions.doneBits
	from, to := chunk*size/wordBits, min((chunk+1)*size/wordBits, len(bits))
	raw := make([]byte, 0, (to-from)*8)
	for _, word := range bits[from:to] {
		for i := 0; i < 8; i++ {
			raw = append(raw, byte(word>>(8*i)))
		}
	}
	return base64.StdEncoding.EncodeToString([]byte(strings.TrimRight(string(raw), "\x00")))
}

// DecodeChunk marks the tasks as done that are set in the stored form of a chunk of size tasks. If
// encoded is not valid base64, it returns an error and marks no task.
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
