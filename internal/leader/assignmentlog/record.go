package assignmentlog

import (
	"cmp"
	"log/slog"
	"slices"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/wirejson"
)

// SegmentRecord is the stored form of a segment.
type SegmentRecord struct {
	Number  uint64             `json:"number"`
	Started []MachineRecord    `json:"begun,omitempty"`
	Ended   []uint64           `json:"over,omitempty"` // ended attempts of earlier segments
	Done    []CompletionRecord `json:"done,omitempty"`
	Dead    []string           `json:"dead,omitempty"` // machines newly judged dead
}

// MachineRecord lists the tasks assigned to one machine in one agent epoch.
type MachineRecord struct {
	Machine    string       `json:"m"`
	Addr       string       `json:"addr"`
	Type       string       `json:"type"`
	Zone       string       `json:"zone"`
	Spot       bool         `json:"spot,omitempty"`
	AgentEpoch uint64       `json:"session"`
	Tasks      []TaskRecord `json:"tasks"`
}

// TaskRecord is one assignment. Its attempt is unique among all tasks. Workers identify the tasks
// of a gang by an attempt that they share.
type TaskRecord struct {
	Job     string `json:"j"`
	Index   int    `json:"n"`
	Attempt uint64 `json:"a"`
	Gang    uint64 `json:"g,omitempty"`
}

// CompletionRecord holds the completions of one chunk of a job's tasks.
type CompletionRecord struct {
	Job   string `json:"j"`
	Chunk int    `json:"c"`
	Bits  string `json:"b"`
}

// StoredSegment is a segment of the ring together with the record that was read for it.
type StoredSegment struct {
	*cluster.Segment
	Record     SegmentRecord
	Unreadable bool
}

// Load resets the log to the segments in the key-value store and returns them in the order in which
// they were written. The caller has to restore the entries that they contain.
func (l *Log) Load(config Config, stored []kvstore.KeyValue) []StoredSegment {
	*l = Log{config: config, maxSegmentBytes: config.maxSegmentBytes(), keys: map[string]bool{}}
	var loaded []StoredSegment
	for _, pair := range stored {
		segment := StoredSegment{Segment: cluster.NewSegment(pair.Key, pair.Revision)}
		segment.Bytes = len(pair.Value)
		l.keys[pair.Key] = true
		if err := wirejson.Unmarshal(pair.Value, &segment.Record); err != nil {
			slog.Error("segment of the assignment log unreadable", "key", pair.Key, "reason", err)
			segment.Unreadable = true
		}
		loaded = append(loaded, segment)
	}
	slices.SortFunc(loaded, func(a, b StoredSegment) int { return cmp.Compare(a.Record.Number, b.Record.Number) })
	l.addUnwrittenSegments(minSegments - len(loaded))
	for _, segment := range loaded {
		l.segments = append(l.segments, segment.Segment)
		l.newestNumber = max(l.newestNumber, segment.Record.Number)
	}
	return loaded
}

// ReferencedJobs returns the ids of all jobs that have tasks in the segments.
func ReferencedJobs(segments []StoredSegment) map[string]bool {
	referenced := map[string]bool{}
	for _, segment := range segments {
		for _, machine := range segment.Record.Started {
			for _, task := range machine.Tasks {
				referenced[task.Job] = true
			}
		}
	}
	return referenced
}
