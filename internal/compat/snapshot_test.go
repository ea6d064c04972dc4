package compat

import (
	"bytes"
	"testing"
)

// A snapshot of version 0.8.0 can be read, and is written again byte for byte.
func TestSnapshotRoundTrip(t *testing.T) {
	const path = "testdata/snapshot.parquet"
	content, err := readSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "snapshot.txt", []byte(content))
	written, err := rewriteSnapshot(path, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, readGolden(t, "snapshot.parquet")) {
		t.Error("the rewritten snapshot differs from the original")
	}
}
