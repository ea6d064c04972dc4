package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/parquet-go/parquet-go"
)

const (
	manifestKey = "ospreyslip.snapshot" // in the file's metadata
	suffix      = ".parquet"
	temporary   = ".partial-"
	nameTime    = "20060102T150405.000Z"
	rowsAtOnce  = 4096
)

// Name is the name of a snapshot's file. Names of a deployment sort by their time.
func (m Manifest) Name() string {
	return fmt.Sprintf("%s-%s-%d%s", m.Cluster, time.UnixMilli(m.TakenMs).UTC().Format(nameTime), m.Revision, suffix)
}

// WriteFile writes a snapshot into a folder and returns its path. The file has its name only
// when all of it is on the disk.
func WriteFile(dir string, s *Snapshot) (path string, err error) {
	f, err := os.CreateTemp(dir, temporary+"*")
	if err != nil {
		return "", err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	if err := encode(f, s); err != nil {
		return "", err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return "", err
	}
	path = filepath.Join(dir, s.Manifest.Name())
	if err := os.Rename(f.Name(), path); err != nil {
		return "", err
	}
	return path, syncDir(dir)
}

// syncDir makes a rename last.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func encode(to io.Writer, s *Snapshot) error {
	manifest, err := json.Marshal(s.Manifest)
	if err != nil {
		return err
	}
	w := parquet.NewGenericWriter[Record](to, parquet.KeyValueMetadata(manifestKey, string(manifest)))
	if _, err := w.Write(s.Records); err != nil {
		return err
	}
	return w.Close()
}

// ReadFile reads a file and checks it.
func ReadFile(path string) (*Snapshot, error) {
	s, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return s, nil
}

func read(path string) (*Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	file, err := open(f, info.Size())
	if err != nil {
		return nil, err
	}
	s, err := manifestOf(file)
	if err != nil {
		return nil, err
	}
	if s.Records, err = records(file, s.Manifest.Records); err != nil {
		return nil, err
	}
	if got := checksum(s.Manifest, s.Records); got != s.Manifest.Checksum {
		return nil, fmt.Errorf("%w: its checksum is not that of its records", ErrDamaged)
	}
	return s, nil
}

// open opens a Parquet file. What its bytes make the library do must not end the process.
func open(f io.ReaderAt, size int64) (file *parquet.File, err error) {
	defer recovered(&err)
	file, err = parquet.OpenFile(f, size)
	if err != nil {
		return nil, fmt.Errorf("%w, or cut off: %w", ErrNotSnapshot, err)
	}
	return file, nil
}

func recovered(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, r)
	}
}

func manifestOf(file *parquet.File) (*Snapshot, error) {
	raw, ok := file.Lookup(manifestKey)
	if !ok {
		return nil, fmt.Errorf("%w: it has no manifest", ErrNotSnapshot)
	}
	var s Snapshot
	if err := json.Unmarshal([]byte(raw), &s.Manifest); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrDamaged, err)
	}
	if s.Manifest.Format > Format {
		return nil, fmt.Errorf("%w: %d, this one reads up to %d", ErrNewerFormat, s.Manifest.Format, Format)
	}
	return &s, nil
}

// records reads all rows; there must be as many as the manifest says.
func records(file *parquet.File, count int) (all []Record, err error) {
	defer recovered(&err)
	if file.NumRows() != int64(count) {
		return nil, fmt.Errorf("%w: %d records, its manifest says %d", ErrDamaged, file.NumRows(), count)
	}
	r := parquet.NewGenericReader[Record](file)
	defer r.Close()
	for len(all) < count {
		page := make([]Record, min(rowsAtOnce, count-len(all)))
		n, err := r.Read(page)
		all = append(all, page[:n]...)
		if err != nil && !errors.Is(err, io.EOF) || n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return all, nil
}

// Prune removes a deployment's oldest snapshots but for so many, and what earlier runs that
// were cut short have left. It returns the names of the removed files.
func Prune(dir, cluster string, keep int) (removed []string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var snapshots []string
	for _, e := range entries {
		switch name := e.Name(); {
		case strings.HasPrefix(name, cluster+"-") && strings.HasSuffix(name, suffix):
			snapshots = append(snapshots, name)
		case strings.HasPrefix(name, temporary) && old(e):
			removed = append(removed, name)
		}
	}
	slices.Sort(snapshots)
	removed = append(removed, snapshots[:max(0, len(snapshots)-keep)]...)
	for _, name := range removed {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// staleAfter is the age of an unfinished file that no run is at work on any more.
const staleAfter = time.Hour

func old(e os.DirEntry) bool {
	info, err := e.Info()
	return err == nil && time.Since(info.ModTime()) > staleAfter
}
