package compat

import (
	"bytes"
	"testing"
)

// A snapshot of version 0.8.0 is read, and written again as it was.
func TestSnapshot(t *testing.T) {
	const path = "testdata/snapshot.parquet"
	content, err := readSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "snapshot.txt", []byte(content))
	written, err := rewriteSnapshot(path, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, goldenFile(t, "snapshot.parquet")) {
		t.Error("the snapshot is written otherwise")
	}
}
