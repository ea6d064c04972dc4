package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// compareGolden compares the output of this version with the golden file that version 0.8.0 wrote.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want := readGolden(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s (-want +got):\n%s", path, cmp.Diff(strings.Split(string(want), "\n"), strings.Split(string(got), "\n")))
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// pair is a key of the store with its value: one line of a golden file.
type pair struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"value"`
}

func readGoldenPairs(t *testing.T, name string) (pairs []pair) {
	t.Helper()
	for line := range bytes.Lines(readGolden(t, name)) {
		var p pair
		if err := json.Unmarshal(line, &p); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		pairs = append(pairs, p)
	}
	return pairs
}

func encodePairs(pairs []pair) []byte {
	var out bytes.Buffer
	for _, p := range pairs {
		fmt.Fprintf(&out, "{\"k\":%q,\"value\":%s}\n", p.Key, p.Value)
	}
	return out.Bytes()
}

// fieldSet collects the paths of the fields in JSON documents, with the types of their values. It
// is safe for concurrent use.
type fieldSet struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (f *fieldSet) add(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[string]bool{}
	}
	f.seen[line] = true
}

func (f *fieldSet) remove(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.seen, line)
}

// addJSON adds all fields of a JSON document. In objects whose path ends in one of openPaths, the
// keys are data, not names, and are recorded as "*".
func (f *fieldSet) addJSON(t *testing.T, prefix string, raw []byte, openPaths ...string) {
	t.Helper()
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Errorf("%s: %v in %q", prefix, err, raw)
		return
	}
	f.walk(prefix, v, openPaths)
}

func (f *fieldSet) walk(path string, v any, openPaths []string) {
	switch v := v.(type) {
	case map[string]any:
		f.add(path + " object")
		for key, field := range v {
			if slices.ContainsFunc(openPaths, func(suffix string) bool { return strings.HasSuffix(path, suffix) }) {
				key = "*"
			}
			f.walk(path+" ."+key, field, openPaths)
		}
	case []any:
		f.add(path + " array")
		for _, element := range v {
			f.walk(path+"[]", element, openPaths)
		}
	case string:
		f.add(path + " string")
	case float64:
		f.add(path + " number")
	case bool:
		f.add(path + " boolean")
	case nil:
		f.add(path + " null")
	}
}

func (f *fieldSet) lines() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []byte(strings.Join(slices.Sorted(maps.Keys(f.seen)), "\n") + "\n")
}

// channelListener is a listener that accepts the connections sent to a channel.
type channelListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (h *channelListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *channelListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

func (h *channelListener) Addr() net.Addr { return &net.TCPAddr{} }
