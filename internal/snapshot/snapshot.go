// Package snapshot copies all records of the state service, as of one revision, into a
// file, and reads such files. The file is in Parquet format, so that other tools can read
// it; a manifest in its metadata says what it is a copy of and carries a checksum.
package snapshot

import (
	"context"
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

// Record is one key.
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
	Token    uint64         `json:"token"` // the highest given out by then
	TakenMs  int64          `json:"takenMs"`
	Records  int            `json:"records"`
	Jobs     map[string]int `json:"jobs"` // by state
	Checksum string         `json:"sha256"`
}

// Snapshot is a copy of all records as of one revision, in the order of their keys.
type Snapshot struct {
	Manifest Manifest
	Records  []Record
}

// Source is the state service.
type Source interface {
	EachPaced(ctx context.Context, prefix string, pause time.Duration, take func(kvstore.Pair)) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (uint64, []kvstore.Change, error)
	Revision(ctx context.Context) (uint64, error)
}

const (
	mostTries   = 5 // copies begun, as changes were no longer kept or the service was put back
	mostWatches = 50
	watchPause  = 100 * time.Millisecond
)

// Take copies all records. It lists them, and then follows the changes until every key is
// as of the same revision. If that cannot be done, as the changes in between are no longer
// kept or the service was put back, it begins anew.
func Take(ctx context.Context, from Source, cluster string, now time.Time) (*Snapshot, error) {
	var failed error
	for range mostTries {
		pairs, revision, err := takeOnce(ctx, from)
		if err == nil {
			return compose(pairs, revision, cluster, now), nil
		}
		failed = err
		if !errors.Is(err, kvstore.ErrCompacted) && !errors.Is(err, errPutBack) {
			break
		}
	}
	return nil, fmt.Errorf("records not copied: %w", failed)
}

// errPutBack means that revisions went back while records were copied.
var errPutBack = errors.New("state service was put back")

func takeOnce(ctx context.Context, from Source) (map[string]kvstore.Pair, uint64, error) {
	pairs := map[string]kvstore.Pair{}
	at, err := from.EachPaced(ctx, "", 0, func(p kvstore.Pair) { pairs[p.Key] = p })
	if err != nil {
		return nil, 0, err
	}
	// No page was read later than this revision.
	least, err := from.Revision(ctx)
	if err != nil {
		return nil, 0, err
	}
	if least < at {
		return nil, 0, errPutBack
	}
	for range mostWatches {
		if at >= least {
			return pairs, at, nil
		}
		revision, changes, err := from.Watch(ctx, "", at, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, c := range changes {
			apply(pairs, c)
		}
		at = max(at, revision)
		if at < least {
			if err := pause(ctx, watchPause); err != nil {
				return nil, 0, err
			}
		}
	}
	return nil, 0, ErrChangesLag
}

// apply brings a copy up to a change. Pages that were read later may have it already.
func apply(pairs map[string]kvstore.Pair, c kvstore.Change) {
	if c.Remove != "" {
		if pairs[c.Remove].Revision < c.Revision {
			delete(pairs, c.Remove)
		}
		return
	}
	if pairs[c.Set].Revision < c.Revision {
		pairs[c.Set] = kvstore.Pair{Key: c.Set, Value: c.Value, Revision: c.Revision}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// compose makes a snapshot of what was copied.
func compose(pairs map[string]kvstore.Pair, revision uint64, cluster string, now time.Time) *Snapshot {
	s := &Snapshot{Manifest: Manifest{
		Format: Format, Cluster: cluster, Revision: revision, TakenMs: now.UnixMilli(),
		Records: len(pairs), Jobs: map[string]int{},
	}}
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		p := pairs[key]
		r := Record{Key: key, Revision: p.Revision, Value: p.Value}
		switch {
		case strings.HasPrefix(key, jobs.RecordPrefix):
			r.State, r.Tasks = jobOf(p)
			s.Manifest.Jobs[r.State]++
		case key == election.TokenKey:
			_ = jsonv2.Unmarshal(p.Value, &s.Manifest.Token)
		}
		s.Records = append(s.Records, r)
	}
	s.Manifest.Checksum = checksum(s.Manifest, s.Records)
	return s
}

// unreadable is the state of a job's record that cannot be read.
const unreadable = "unreadable"

func jobOf(p kvstore.Pair) (jobState string, tasks int32) {
	var rec struct {
		State string `json:"stance"`
		Tasks int32  `json:"tasks"`
	}
	if err := jsonv2.Unmarshal(p.Value, &rec); err != nil {
		return unreadable, 0
	}
	return rec.State, rec.Tasks
}

// checksum is that of all records and of what the manifest says of them.
func checksum(m Manifest, records []Record) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d %s %d %d %d %d\n", m.Format, m.Cluster, m.Revision, m.Token, m.TakenMs, m.Records)
	for _, name := range slices.Sorted(maps.Keys(m.Jobs)) {
		fmt.Fprintf(sum, "%s %d\n", name, m.Jobs[name])
	}
	for _, r := range records {
		addText(sum, []byte(r.Key))
		addText(sum, []byte(r.State))
		addText(sum, r.Value)
		_ = binary.Write(sum, binary.LittleEndian, []uint64{r.Revision, uint64(r.Tasks)})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// addText adds a text behind its length, so that no two rows read the same.
func addText(sum hash.Hash, text []byte) {
	_ = binary.Write(sum, binary.LittleEndian, uint64(len(text)))
	sum.Write(text)
}
