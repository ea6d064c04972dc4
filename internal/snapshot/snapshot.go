// Package snapshot copies all records of the key-value store, as of one revision, to a file and
// reads such files. The files are in Parquet format, so that other tools can read them. A
// manifest in the metadata describes the copy and contains a checksum.
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

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/wirejson"
)

// Format is the file format version that this package writes, and the newest that it reads.
const Format = 1

var (
	// ErrNotSnapshot means that a file is not a snapshot, or is too truncated to be recognized.
	ErrNotSnapshot = errors.New("file is not a snapshot")
	// ErrDamaged means that the contents of a snapshot file are incomplete or altered.
	ErrDamaged = errors.New("file is corrupt")
	// ErrNewerFormat means that a file was written by a later version of this program.
	ErrNewerFormat = errors.New("file format is newer than supported")
	// ErrWatchLags means that the store's watch did not deliver the changes up to a revision.
	ErrWatchLags = errors.New("watch does not catch up with the store")
)

// Record is a key of the store with its value: one row of the file.
type Record struct {
	Key      string `parquet:"key"`
	Revision uint64 `parquet:"revision"`
	State    string `parquet:"state,dict"` // state of a job; empty for other keys
	Tasks    int32  `parquet:"tasks"`      // number of tasks of a job; 0 for other keys
	Value    []byte `parquet:"value,zstd"`
}

// Manifest describes the contents of a snapshot.
type Manifest struct {
	Format   int            `json:"format"`
	Cluster  string         `json:"cluster"`
	Revision uint64         `json:"revision"`
	Token    uint64         `json:"token"`   // highest fencing token issued up to Revision
	TakenMs  int64          `json:"takenMs"` // wall clock time in milliseconds since the Unix epoch
	Records  int            `json:"records"`
	Jobs     map[string]int `json:"jobs"` // number of jobs by state
	Checksum string         `json:"sha256"`
}

// Snapshot is a copy of all records as of one revision, sorted by key.
type Snapshot struct {
	Manifest Manifest
	Records  []Record
}

// newSnapshot builds a snapshot from copied pairs.
func newSnapshot(pairs map[string]kvstore.KeyValue, revision uint64, cluster string, now time.Time) *Snapshot {
	snapshot := &Snapshot{Manifest: Manifest{
		Format: Format, Cluster: cluster, Revision: revision, TakenMs: now.UnixMilli(),
		Records: len(pairs), Jobs: map[string]int{},
	}}
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		pair := pairs[key]
		record := Record{Key: key, Revision: pair.Revision, Value: pair.Value}
		switch {
		case strings.HasPrefix(key, jobs.RecordPrefix):
			record.State, record.Tasks = decodeJobState(pair)
			snapshot.Manifest.Jobs[record.State]++
		case key == election.TokenKey:
			_ = wirejson.Unmarshal(pair.Value, &snapshot.Manifest.Token)
		}
		snapshot.Records = append(snapshot.Records, record)
	}
	snapshot.Manifest.Checksum = checksum(snapshot.Manifest, snapshot.Records)
	return snapshot
}

// stateUnreadable is the state of a job in a snapshot if its record cannot be decoded.
const stateUnreadable = "unreadable"

// decodeJobState returns the state and the number of tasks from a job's record.
func decodeJobState(pair kvstore.KeyValue) (jobState string, tasks int32) {
	var record jobRecord
	if err := wirejson.Unmarshal(pair.Value, &record); err != nil {
		return stateUnreadable, 0
	}
	return record.State, record.Tasks
}

// checksum returns the SHA-256 checksum of all records and of the manifest's other fields.
func checksum(manifest Manifest, records []Record) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d %s %d %d %d %d\n", manifest.Format, manifest.Cluster, manifest.Revision, manifest.Token, manifest.TakenMs, manifest.Records)
	for _, name := range slices.Sorted(maps.Keys(manifest.Jobs)) {
		fmt.Fprintf(sum, "%s %d\n", name, manifest.Jobs[name])
	}
	for _, record := range records {
		hashLengthPrefixed(sum, []byte(record.Key))
		hashLengthPrefixed(sum, []byte(record.State))
		hashLengthPrefixed(sum, record.Value)
		_ = binary.Write(sum, binary.LittleEndian, []uint64{record.Revision, uint64(record.Tasks)})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// hashLengthPrefixed adds text to the hash, preceded by its length, so that different rows never
// produce the same input.
func hashLengthPrefixed(sum hash.Hash, text []byte) {
	_ = binary.Write(sum, binary.LittleEndian, uint64(len(text)))
	sum.Write(text)
}
