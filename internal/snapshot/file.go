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

	"ospreyslip/internal/wirejson"
)

const (
	manifestKey    = "ospreyslip.snapshot" // key of the manifest in the file's metadata
	fileSuffix     = ".parquet"
	tempPrefix     = ".partial-"
	nameTimeLayout = "20060102T150405.000Z"
	rowsPerRead    = 4096
)

// Name returns the file name of the snapshot. The names of a deployment's snapshots sort by time.
func (m Manifest) Name() string {
	return fmt.Sprintf("%s-%s-%d%s", m.Cluster, time.UnixMilli(m.TakenMs).UTC().Format(nameTimeLayout), m.Revision, fileSuffix)
}

// WriteFile writes a snapshot to a file in dir and returns the path of the file. It writes and
// syncs a temporary file before it renames it, so that a file with its final name is complete.
func WriteFile(dir string, snapshot *Snapshot) (path string, err error) {
	file, err := os.CreateTemp(dir, tempPrefix+"*")
	if err != nil {
		return "", err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(file.Name())
		}
	}()
	if err := encode(file, snapshot); err != nil {
		return "", err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return "", err
	}
	path = filepath.Join(dir, snapshot.Manifest.Name())
	if err := os.Rename(file.Name(), path); err != nil {
		return "", err
	}
	return path, syncDir(dir)
}

// syncDir makes a rename in dir durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func encode(out io.Writer, snapshot *Snapshot) error {
	manifest, err := json.Marshal(snapshot.Manifest)
	if err != nil {
		return err
	}
	writer := parquet.NewGenericWriter[Record](out, parquet.KeyValueMetadata(manifestKey, string(manifest)))
	if _, err := writer.Write(snapshot.Records); err != nil {
		return err
	}
	return writer.Close()
}

// ReadFile reads a snapshot and verifies its format, number of records and checksum.
func ReadFile(path string) (*Snapshot, error) {
	s, err := readAndVerify(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return s, nil
}

func readAndVerify(path string) (*Snapshot, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	parquetFile, err := openParquet(file, info.Size())
	if err != nil {
		return nil, err
	}
	snapshot, err := readManifest(parquetFile)
	if err != nil {
		return nil, err
	}
	if snapshot.Records, err = readRecords(parquetFile, snapshot.Manifest.Records); err != nil {
		return nil, err
	}
	if got := checksum(snapshot.Manifest, snapshot.Records); got != snapshot.Manifest.Checksum {
		return nil, fmt.Errorf("%w: checksum does not match the records", ErrDamaged)
	}
	return snapshot, nil
}

// openParquet opens a Parquet file. It returns panics of the library on malformed input as errors,
// so that a corrupt file does not crash the process.
func openParquet(f io.ReaderAt, size int64) (file *parquet.File, err error) {
	defer recoverPanic(&err)
	file, err = parquet.OpenFile(f, size)
	if err != nil {
		return nil, fmt.Errorf("%w, or truncated: %w", ErrNotSnapshot, err)
	}
	return file, nil
}

func recoverPanic(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, r)
	}
}

func readManifest(file *parquet.File) (*Snapshot, error) {
	raw, ok := file.Lookup(manifestKey)
	if !ok {
		return nil, fmt.Errorf("%w: manifest is missing", ErrNotSnapshot)
	}
	var snapshot Snapshot
	if err := wirejson.Unmarshal([]byte(raw), &snapshot.Manifest); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrDamaged, err)
	}
	if snapshot.Manifest.Format > Format {
		return nil, fmt.Errorf("%w: format %d, newest supported is %d", ErrNewerFormat, snapshot.Manifest.Format, Format)
	}
	return &snapshot, nil
}

// readRecords reads all rows. It fails if their number differs from count, that of the manifest.
func readRecords(file *parquet.File, count int) (all []Record, err error) {
	defer recoverPanic(&err)
	if file.NumRows() != int64(count) {
		return nil, fmt.Errorf("%w: it has %d records, manifest says %d", ErrDamaged, file.NumRows(), count)
	}
	reader := parquet.NewGenericReader[Record](file)
	defer reader.Close()
	for len(all) < count {
		page := make([]Record, min(rowsPerRead, count-len(all)))
		rows, err := reader.Read(page)
		all = append(all, page[:rows]...)
		if err != nil && !errors.Is(err, io.EOF) || rows == 0 {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return all, nil
}

// Prune removes all but the newest keep snapshots of a deployment from dir, and temporary files of
// interrupted runs. It returns the names of all these files, even if removing one of them fails.
func Prune(dir, cluster string, keep int) (removed []string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var snapshots []string
	for _, entry := range entries {
		switch name := entry.Name(); {
		case strings.HasPrefix(name, cluster+"-") && strings.HasSuffix(name, fileSuffix):
			snapshots = append(snapshots, name)
		case strings.HasPrefix(name, tempPrefix) && isStaleTempFile(entry):
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

// tempFileMaxAge is the age beyond which a temporary file belongs to an interrupted run.
const tempFileMaxAge = time.Hour

func isStaleTempFile(e os.DirEntry) bool {
	info, err := e.Info()
	return err == nil && time.Since(info.ModTime()) > tempFileMaxAge
}
