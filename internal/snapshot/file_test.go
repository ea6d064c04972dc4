package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/parquet-go/parquet-go"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/wirejson/wirejsontest"
)

func exampleSnapshot(records int) *Snapshot {
	pairs := map[string]kvstore.KeyValue{"term/token": {Key: "term/token", Value: json.RawMessage("41"), Revision: 7}}
	for i := range records {
		key := fmt.Sprintf("job/j-%06d", i)
		pairs[key] = kvstore.KeyValue{Key: key, Value: jobRecordJSON([]string{jobs.Queued, jobs.Done, jobs.Cancelled}[i%3], i%50+1), Revision: uint64(i + 8)}
	}
	pairs["job/j-x"] = kvstore.KeyValue{Key: "job/j-x", Value: json.RawMessage(`{"stance":7}`), Revision: 3}
	return newSnapshot(pairs, 9000, "abc", time.UnixMilli(1_800_000_000_000))
}

// A file reads back as it was written, and its manifest describes the contents.
func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	written := exampleSnapshot(10_000)
	path, err := WriteFile(dir, written)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(written, got); diff != "" {
		t.Error(diff)
	}
	if manifest := got.Manifest; manifest.Token != 41 || manifest.Jobs[jobs.Done] != 3333 || manifest.Jobs[stateUnreadable] != 1 || manifest.Records != 10_002 {
		t.Errorf("%+v", manifest)
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 1 {
		t.Errorf("temporary files were left behind: %v", entries)
	}
	empty, err := WriteFile(dir, newSnapshot(nil, 0, "abc", time.UnixMilli(1)))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ReadFile(empty); err != nil || len(got.Records) != 0 {
		t.Errorf("empty snapshot: %v, %v", got, err)
	}
}

// TestUnknownFieldsInFile guards against unknown columns of a file, and unknown fields of its manifest, that take
// the place of known ones because their names are alike.
func TestUnknownFieldsInFile(t *testing.T) {
	type extendedRecord struct {
		UpperKey   string `parquet:"KEY"`
		UpperValue []byte `parquet:"Value"`
		Record
		UpperState string `parquet:"STATE"`
	}
	want := exampleSnapshot(20)
	manifest, err := json.Marshal(want.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "extended.parquet")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	withUnknown := wirejsontest.AddUnknownFields(manifest, "jobs")
	writer := parquet.NewGenericWriter[extendedRecord](file, parquet.KeyValueMetadata(manifestKey, string(withUnknown)))
	for _, record := range want.Records {
		if _, err := writer.Write([]extendedRecord{{"job/j-900001", []byte("{}"), record, jobs.Done}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(writer.Close(), file.Close()); err != nil {
		t.Fatal(err)
	}
	got, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A file that is truncated, altered, not a snapshot or from a later version is rejected, wherever
// the damage is.
func TestReadFileRejectsInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	path, err := WriteFile(dir, exampleSnapshot(200))
	if err != nil {
		t.Fatal(err)
	}
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	requireRejected := func(what string, raw []byte, want error) {
		t.Helper()
		bad := filepath.Join(dir, "bad")
		if err := os.WriteFile(bad, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		switch _, err := ReadFile(bad); {
		case err == nil:
			t.Errorf("%s: accepted", what)
		case want != nil && !errors.Is(err, want):
			t.Errorf("%s: %v, want %v", what, err, want)
		case strings.Contains(err.Error(), "\n"):
			t.Errorf("%s: error has more than one line: %v", what, err)
		}
	}
	requireRejected("empty", nil, ErrNotSnapshot)
	requireRejected("plain text", []byte(strings.Repeat("no snapshot ", 100)), ErrNotSnapshot)
	for _, cut := range []int{1, 7, len(valid) / 2, len(valid) - 4} {
		requireRejected(fmt.Sprintf("truncated by %d bytes", cut), valid[:len(valid)-cut], ErrNotSnapshot)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		raw := append([]byte(nil), valid...)
		offset := r.IntN(len(raw))
		raw[offset] ^= byte(1 + r.IntN(255))
		bad := filepath.Join(dir, "bad")
		if err := os.WriteFile(bad, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := ReadFile(bad); err == nil {
			// The altered byte must be one that does not affect the contents, such as in the
			// name of the writer.
			if diff := cmp.Diff(exampleSnapshot(200), got); diff != "" {
				t.Errorf("byte %d altered, but the file was accepted: %s", offset, diff)
			}
		}
	}
	newer := exampleSnapshot(5)
	newer.Manifest.Format = Format + 1
	if path, err = WriteFile(dir, newer); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFile(path); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("from a later version: %v", err)
	}
	tampered := exampleSnapshot(5)
	tampered.Manifest.Token = 5
	if path, err = WriteFile(dir, tampered); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFile(path); !errors.Is(err, ErrDamaged) {
		t.Errorf("another token in the manifest: %v", err)
	}
	if _, err := ReadFile(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// Prune removes only the oldest snapshots of the given deployment, and old temporary files.
func TestPrune(t *testing.T) {
	dir := t.TempDir()
	for i := range 5 {
		taken := newSnapshot(nil, uint64(i), "abc", time.UnixMilli(int64(i)*60_000))
		if _, err := WriteFile(dir, taken); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := WriteFile(dir, newSnapshot(nil, 1, "other", time.UnixMilli(1))); err != nil {
		t.Fatal(err)
	}
	staleFile := filepath.Join(dir, tempPrefix+"1")
	if err := os.WriteFile(staleFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(staleFile, time.Unix(1, 0), time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	removed, err := Prune(dir, "abc", 2)
	if err != nil || len(removed) != 4 {
		t.Errorf("removed %v, %v", removed, err)
	}
	entries, _ := os.ReadDir(dir)
	if len(entries) != 3 || !strings.HasPrefix(entries[0].Name(), "abc-19700101T000300") {
		t.Errorf("remaining files: %v", entries)
	}
	if removed, err := Prune(dir, "abc", 2); err != nil || len(removed) > 0 {
		t.Errorf("second run: removed %v, %v", removed, err)
	}
}
