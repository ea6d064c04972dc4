package settings

import (
	"bytes"
	"os"
	"testing"
)

// The names, the order and the values that `ospreyslip check` prints must not change when fields are
// renamed.
func TestPrintedValues(t *testing.T) {
	want, err := os.ReadFile("testdata/derived.txt")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := Load("testdata/perch-0.toml", "")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := settings.Derive().Print(&got); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("printed:\n%swant:\n%s", got.String(), want)
	}
}
