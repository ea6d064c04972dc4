package leader

import (
	"cmp"
	"encoding/base64"
	"log/slog"
	"slices"
	"strings"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/kvstore"
)

// segmentRecord is one segment in the state service.
type segmentRecord struct {
	Number uint64        `json:"number"`
	Begun  []begunRecord `json:"begun,omitempty"`
	Over   []uint64      `json:"over,omitempty"` // attempts begun on earlier segments
	Done   []doneRecord  `json:"done,omitempty"`
	Dead   []string      `json:"dead,omitempty"` // machines judged since

	broken bool // could not be read
}

// begunRecord is the tasks that were given to one machine in one session.
type begunRecord struct {
	Machine string       `json:"m"`
	Addr    string       `json:"addr"`
	Type    string       `json:"type"`
	Zone    string       `json:"zone"`
	Spot    bool         `json:"spot,omitempty"`
	Session uint64       `json:"session"`
	Tasks   []taskRecord `json:"tasks"`
}

// taskRecord is one assignment. Its attempt is unique among all tasks. Workers
// know the tasks of a gang by a number that they have in common.
type taskRecord struct {
	Job     string `json:"j"`
	N       int    `json:"n"`
	Attempt uint64 `json:"a"`
	Gang    uint64 `json:"g,omitempty"`
}

// doneRecord is the completions of one chunk of a job's tasks.
type doneRecord struct {
	Job   string `json:"j"`
	Chunk int    `json:"c"`
	Bits  string `json:"b"`
}

// readLog puts the segments in order. What each says is for the caller.
func (l *Leader) readLog(pairs []kvstore.Pair) []segmentRecord {
	type read struct {
		p   *segment
		rec segmentRecord
	}
	var all []read
	k := &l.log
	*k = assignmentLog{most: min(l.Derived.Store.ValueBytes, txnBytes/2) * 15 / 16, keys: map[string]bool{}}
	for _, pair := range pairs {
		r := read{p: newSegment(pair.Key, pair.Revision)}
		r.p.bytes = len(pair.Value)
		k.keys[pair.Key] = true
		if err := jsonv2.Unmarshal(pair.Value, &r.rec); err != nil {
			slog.Error("segment of the assignment log unreadable", "key", pair.Key, "reason", err)
			r.rec.broken = true
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b read) int { return cmp.Compare(a.rec.Number, b.rec.Number) })
	for len(k.segments)+len(all) < leastSegments {
		k.segments = append(k.segments, k.blank())
	}
	var recs []segmentRecord
	for _, r := range all {
		k.segments = append(k.segments, r.p)
		k.number = max(k.number, r.rec.Number)
		recs = append(recs, r.rec)
	}
	return recs
}

// chunkBits packs the completions of one chunk of tasks.
func (j *job) chunkBits(c, size int) string {
	lo, hi := c*size/64, min((c+1)*size/64, len(j.done))
	buf := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.done[lo:hi] {
		for b := 0; b < 8; b++ {
			buf = append(buf, byte(w>>(8*b)))
		}
	}
	return base64.StdEncoding.EncodeToString([]byte(strings.TrimRight(string(buf), "\x00")))
}

// loadChunk takes in the completions that an earlier leader wrote.
func (j *job) loadChunk(c, size int, bits string) error {
	buf, err := base64.StdEncoding.DecodeString(bits)
	if err != nil {
		return err
	}
	for i, b := range buf {
		for n := range 8 {
			if task := c*size + 8*i + n; b&(1<<n) != 0 && task < j.spec.Tasks {
				j.setDone(task)
			}
		}
	}
	return nil
}
