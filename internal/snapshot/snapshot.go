// Package snapshot copies all records of the state service, as of one revision, into a
// file, and reads such files. The file is in Parquet format, so that other tools can read
// it; a manifest in its metadata says what it is a copy of and carries a checksum.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"maps"
	"slices"
	"strings"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// Format is the version of the file format that this package writes, and the newest that
// it reads.
const Format = 1

var (
	// ErrNotSnapshot means that a file is no snapshot.
	ErrNotSnapshot = errors.New("not a snapshot")
	// ErrDamaged means that a file was cut off or altered.
	ErrDamaged = errors.New("damaged")
	// ErrNewerFormat means that a file was written by a later version.
	ErrNewerFormat = errors.New("format is newer than this version reads")
	// ErrChangesLag means that the changes up to a revision were not to be had.
	ErrChangesLag = errors.New("changes lag")
)

// Record is one key of the state service: a row of the file.
type Record struct {
	Key      string `parquet:"key"`
	Revision uint64 `parquet:"revision"`
	State    string `parquet:"state,dict"` // of a job; empty for other keys
	Tasks    int32  `parquet:"tasks"`      // of a job
	Value    []byte `parquet:"value,zstd"`
}

// Manifest says what a file is a copy of.
type Manifest struct {
	Format   int            `json:"format"`
	Cluster  string         `json:"cluster"`
	Revision uint64         `json:"revision"`
	Token    uint64         `json:"token"`   // the highest fencing token given out by then
	TakenMs  int64          `json:"takenMs"` // time of day
	Records  int            `json:"records"`
	Jobs     map[string]int `json:"jobs"` // how many, by state
	Checksum string         `json:"sha256"`
}

// Snapshot is a copy of all records as of one revision, in the order of their keys.
type Snapshot struct {
	Manifest Manifest
	Records  []Record
}

// compose makes a snapshot of what was copied.
func compose(pairs map[string]kvstore.KeyValue, revision uint64, cluster string, now time.Time) *Snapshot {
	composed := &Snapshot{Manifest: Manifest{
		Format: Format, Cluster: cluster, Revision: revision, TakenMs: now.UnixMilli(),
		Records: len(pairs), Jobs: map[string]int{},
	}}
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		pair := pairs[key]
		record := Record{Key: key, Revision: pair.Revision, Value: pair.Value}
		switch {
		case strings.HasPrefix(key, jobs.RecordPrefix):
			record.State, record.Tasks = jobStateOf(pair)
			composed.Manifest.Jobs[record.State]++
		case key == election.TokenKey:
			_ = jsonv2.Unmarshal(pair.Value, &composed.Manifest.Token)
		}
		composed.Records = append(composed.Records, record)
	}
	composed.Manifest.Checksum = checksum(composed.Manifest, composed.Records)
	return composed
}

// unreadable is the state of a job's record that cannot be read.
const unreadable = "unreadable"

// jobStateOf reads a job's record as far as a snapshot shows it.
func jobStateOf(pair kvstore.KeyValue) (jobState string, tasks int32) {
	var record jobRecord
	if err := jsonv2.Unmarshal(pair.Value, &record); err != nil {
		return unreadable, 0
	}
	return record.State, record.Tasks
}

// checksum is that of all records and of what the manifest says of them.
func checksum(manifest Manifest, records []Record) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d %s %d %d %d %d\n", manifest.Format, manifest.Cluster, manifest.Revision, manifest.Token, manifest.TakenMs, manifest.Records)
	for _, name := range slices.Sorted(maps.Keys(manifest.Jobs)) {
		fmt.Fprintf(sum, "%s %d\n", name, manifest.Jobs[name])
	}
	for _, record := range records {
		hashText(sum, []byte(record.Key))
		hashText(sum, []byte(record.State))
		hashText(sum, record.Value)
		_ = binary.Write(sum, binary.LittleEndian, []uint64{record.Revision, uint64(record.Tasks)})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// hashText adds a text behind its length, so that no two rows read the same.
func hashText(sum hash.Hash, text []byte) {
	_ = binary.Write(sum, binary.LittleEndian, uint64(len(text)))
	sum.Write(text)
}
