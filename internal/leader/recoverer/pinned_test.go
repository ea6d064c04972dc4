package recoverer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
)

// Assignment log segments and the recovery status written by version 0.8.0 must decode and encode
// to the same bytes.
func TestStoredRecordsRoundTrip(t *testing.T) {
	raw, err := os.ReadFile("testdata/pinned/records.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	read := 0
	for lines.Scan() {
		read++
		var p kvstore.KeyValue
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		var record any = &recoveryStatus{}
		if strings.HasPrefix(p.Key, "book/") {
			record = &assignmentlog.SegmentRecord{}
		}
		if err := jsonv2.Unmarshal(p.Value, record); err != nil {
			t.Fatal(p.Key, err)
		}
		if got, err := json.Marshal(record); err != nil || !bytes.Equal(got, p.Value) {
			t.Errorf("%s: error %v, encoded as\n%s\nwant\n%s", p.Key, err, got, p.Value)
		}
	}
	if err := lines.Err(); err != nil || read == 0 {
		t.Errorf("%d records read: %v", read, err)
	}
}
