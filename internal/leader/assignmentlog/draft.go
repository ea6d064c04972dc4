package assignmentlog

import (
	"strconv"

	"ospreyslip/internal/leader/cluster"
)

// segmentDraft accumulates the content of one segment and estimates its encoded size.
type segmentDraft struct {
	record             SegmentRecord
	bytes              int
	maxBytes           int
	machineAt          map[*cluster.Machine]int // index into record.Begun of the machine's newest agent epoch
	startedAssignments []*cluster.Assignment    // recorded in this segment
	endedAssignments   []*cluster.Assignment    // whose end takes effect with this segment
	chunks             []cluster.ChunkRef       // recorded in this segment
	dequeuedEntries    queue                    // from the log's queue, to be requeued if the transaction fails
}

func newSegmentDraft(number uint64, maxBytes int) *segmentDraft {
	return &segmentDraft{
		record: SegmentRecord{Number: number}, bytes: segmentBytes, maxBytes: maxBytes,
		machineAt: map[*cluster.Machine]int{},
	}
}

// Encoded sizes of the parts of a segment, in bytes, excluding names and numbers.
const (
	segmentBytes      = len(`{"number":18446744073709551615,"begun":[],"over":[],"done":[],"dead":[]}`)
	machineBytes      = len(`{"m":"","addr":"","type":"","zone":"","spot":true,"session":,"tasks":[]},`)
	taskBytes         = len(`{"j":"","n":,"a":,"g":},`)
	completionBytes   = len(`{"j":"","c":,"b":""},`)
	deathBytes        = len(`"",`)
	typicalStartBytes = 2 * (machineBytes + taskBytes) // of an assignment including its names
)

func (d *segmentDraft) fits(bytes int) bool { return d.bytes+bytes <= d.maxBytes }

// isEmpty reports whether the draft records no assignment and no chunk of completions.
func (d *segmentDraft) isEmpty() bool { return len(d.startedAssignments)+len(d.chunks) == 0 }

func (d *segmentDraft) addStart(assignment *cluster.Assignment) {
	i, ok := d.machineAt[assignment.Machine]
	if !ok || d.record.Started[i].AgentEpoch != assignment.AgentEpoch {
		i = len(d.record.Started)
		d.machineAt[assignment.Machine] = i
		m := assignment.Machine
		d.record.Started = append(d.record.Started, MachineRecord{
			Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, AgentEpoch: assignment.AgentEpoch,
		})
		d.bytes += startSize(assignment)
	} else {
		d.bytes += taskSize(assignment)
	}
	tasks := &d.record.Started[i].Tasks
	*tasks = append(*tasks, TaskRecord{assignment.Job.ID, assignment.Index, assignment.Attempt, assignment.GangAttempt})
	d.startedAssignments = append(d.startedAssignments, assignment)
}

func (d *segmentDraft) addChunk(ref cluster.ChunkRef, bits string) {
	d.record.Done = append(d.record.Done, CompletionRecord{ref.Job.ID, ref.Index, bits})
	d.bytes += chunkSize(ref, bits)
	d.chunks = append(d.chunks, ref)
}

// textBytes returns an upper bound on the encoded size of a JSON string, without its quotes.
func textBytes(text string) (bytes int) {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			bytes += len(`\u0000`)
		} else {
			bytes++
		}
	}
	return bytes
}

func digits(number uint64) int { return len(strconv.FormatUint(number, 10)) }

func taskSize(assignment *cluster.Assignment) int {
	return taskBytes + textBytes(assignment.Job.ID) + digits(uint64(assignment.Index)) + digits(assignment.Attempt) + digits(assignment.GangAttempt)
}

// startSize returns the estimated encoded size of an assignment together with its machine.
func startSize(assignment *cluster.Assignment) int {
	m := assignment.Machine
	names := textBytes(m.ID) + textBytes(m.Addr) + textBytes(m.Type) + textBytes(m.Zone)
	return machineBytes + names + digits(assignment.AgentEpoch) + taskSize(assignment)
}

func endSize(assignment *cluster.Assignment) int { return digits(assignment.Attempt) + len(",") }

func chunkSize(ref cluster.ChunkRef, bits string) int {
	return completionBytes + textBytes(ref.Job.ID) + digits(uint64(ref.Index)) + len(bits)
}
