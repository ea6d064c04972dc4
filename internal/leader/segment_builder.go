package leader

import (
	"strconv"
)

// segmentBuilder is a segment being put together.
type segmentBuilder struct {
	rec   segmentRecord
	size  int
	most  int
	at    map[*machine]int // index into rec.Begun, by machine and session
	kept  []*assignment    // begun on this segment
	gone  []*assignment    // over with this segment
	done  []chunkRef
	fresh struct { // taken from the queues, to go back there if nothing is written
		begins []*assignment
		chunks []chunkRef
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

func taskSize(a *assignment) int {
	return taskBytes + textBytes(a.job.id) + digits(uint64(a.n)) + digits(a.attempt) + digits(a.gang)
}

func beginSize(a *assignment) int {
	m := a.m
	return beginBytes + textBytes(m.id) + textBytes(m.addr) + textBytes(m.typ) + textBytes(m.zone) + digits(a.session) + taskSize(a)
}

func overSize(a *assignment) int { return digits(a.attempt) + 1 }

func chunkSize(ref chunkRef, bits string) int {
	return chunkBytes + textBytes(ref.j.id) + digits(uint64(ref.c)) + len(bits)
}

func (d *segmentBuilder) begin(a *assignment) {
	i, ok := d.at[a.m]
	if !ok || d.rec.Begun[i].Session != a.session {
		i = len(d.rec.Begun)
		d.at[a.m] = i
		m := a.m
		d.rec.Begun = append(d.rec.Begun, begunRecord{Machine: m.id, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, Session: a.session})
		d.size += beginSize(a)
	} else {
		d.size += taskSize(a)
	}
	d.rec.Begun[i].Tasks = append(d.rec.Begun[i].Tasks, taskRecord{a.job.id, a.n, a.attempt, a.gang})
	d.kept = append(d.kept, a)
}

func (d *segmentBuilder) chunk(ref chunkRef, bits string) {
	d.rec.Done = append(d.rec.Done, doneRecord{ref.j.id, ref.c, bits})
	d.size += chunkSize(ref, bits)
	d.done = append(d.done, ref)
}
