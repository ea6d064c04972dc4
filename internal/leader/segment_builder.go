package leader

import (
	"ospreyslip/internal/leader/cluster"
	"strconv"
)

// segmentBuilder is a segment being put together.
type segmentBuilder struct {
	rec   segmentRecord
	size  int
	most  int
	at    map[*cluster.Machine]int // index into rec.Begun, by machine and session
	kept  []*cluster.Assignment    // begun on this segment
	gone  []*cluster.Assignment    // over with this segment
	done  []cluster.ChunkRef
	fresh struct { // taken from the queues, to go back there if nothing is written
		begins []*cluster.Assignment
		chunks []cluster.ChunkRef
		deaths []string
	}
}

func (d *segmentBuilder) fits(bytes int) bool { return d.size+bytes <= d.most }

// Bytes of the parts of a segment, but for names and numbers.
const (
	segmentBytes = len(`{"number":18446744073709551615,"begun":[],"over":[],"done":[],"dead":[]}`)
	beginBytes   = len(`{"m":"","addr":"","type":"","zone":"","spot":true,"session":,"tasks":[]},`)
	taskBytes    = len(`{"j":"","n":,"a":,"g":},`)
	chunkBytes   = len(`{"j":"","c":,"b":""},`)
	usualBytes   = 2 * (beginBytes + taskBytes) // of an assignment with its names
)

// textBytes is how long a text is in JSON, without its quotes.
func textBytes(s string) (n int) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += len(`\u0000`)
		} else {
			n++
		}
	}
	return n
}

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

func taskSize(a *cluster.Assignment) int {
	return taskBytes + textBytes(a.Job.ID) + digits(uint64(a.Index)) + digits(a.Attempt) + digits(a.GangAttempt)
}

func beginSize(a *cluster.Assignment) int {
	m := a.Machine
	return beginBytes + textBytes(m.ID) + textBytes(m.Addr) + textBytes(m.Type) + textBytes(m.Zone) + digits(a.Session) + taskSize(a)
}

func overSize(a *cluster.Assignment) int { return digits(a.Attempt) + 1 }

func chunkSize(ref cluster.ChunkRef, bits string) int {
	return chunkBytes + textBytes(ref.Job.ID) + digits(uint64(ref.Index)) + len(bits)
}

func (d *segmentBuilder) begin(a *cluster.Assignment) {
	i, ok := d.at[a.Machine]
	if !ok || d.rec.Begun[i].Session != a.Session {
		i = len(d.rec.Begun)
		d.at[a.Machine] = i
		m := a.Machine
		d.rec.Begun = append(d.rec.Begun, begunRecord{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Session: a.Session})
		d.size += beginSize(a)
	} else {
		d.size += taskSize(a)
	}
	d.rec.Begun[i].Tasks = append(d.rec.Begun[i].Tasks, taskRecord{a.Job.ID, a.Index, a.Attempt, a.GangAttempt})
	d.kept = append(d.kept, a)
}

func (d *segmentBuilder) chunk(ref cluster.ChunkRef, bits string) {
	d.rec.Done = append(d.rec.Done, doneRecord{ref.Job.ID, ref.Index, bits})
	d.size += chunkSize(ref, bits)
	d.done = append(d.done, ref)
}
