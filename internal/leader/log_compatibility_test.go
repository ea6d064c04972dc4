package leader

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
)

// readAsVersion030 reads the assignment log as version 0.3.0 does: with its order and precedence of
// segments and the fields that it knows. A controller of that version may lead at any time during an
// upgrade. The result describes assignments and completed tasks in the form of durableRecords.
func readAsVersion030(t *testing.T, pairs []kvstore.KeyValue, chunkTasks int) (out []string) {
	t.Helper()
	type segmentRecord struct {
		Number uint64
		Begun  []struct {
			M       string
			Session uint64
			Tasks   []struct {
				J string
				N int
				A uint64
			}
		}
		Over []uint64
		Done []struct {
			J string
			C int
			B string
		}
	}
	var segments []segmentRecord
	for _, p := range pairs {
		if !strings.HasPrefix(p.Key, "book/") {
			continue
		}
		var segment segmentRecord
		if err := json.Unmarshal(p.Value, &segment); err != nil {
			t.Fatal(p.Key, err)
		}
		segments = append(segments, segment)
	}
	slices.SortFunc(segments, func(a, b segmentRecord) int { return cmp.Compare(a.Number, b.Number) })
	placed, done := map[uint64]string{}, map[string]bool{}
	for _, segment := range segments {
		for _, b := range segment.Begun {
			for _, tk := range b.Tasks {
				placed[tk.A] = fmt.Sprint(tk.J, "/", tk.N, " ", tk.A, " on ", b.M, " ", b.Session)
			}
		}
		for _, a := range segment.Over {
			delete(placed, a)
		}
		for _, d := range segment.Done {
			bits, err := base64.StdEncoding.DecodeString(d.B)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 8 * len(bits) {
				if bits[i/8]&(1<<(i%8)) != 0 {
					done[fmt.Sprintf("done %s/%05d", d.J, d.C*chunkTasks+i)] = true
				}
			}
		}
	}
	for _, s := range placed {
		out = append(out, s)
	}
	for s := range done {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// readProductionRecords returns the records that a production deployment wrote on a day on which its
// leader failed, the jobs in them, and the tasks that were on its machines at that moment.
func readProductionRecords(t *testing.T) (pairs []kvstore.KeyValue, specs []*jobs.Spec, runningTasks []string) {
	t.Helper()
	raw, err := os.ReadFile("testdata/production/state.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var p kvstore.KeyValue
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		p.Revision = uint64(len(pairs) + 1)
		pairs = append(pairs, p)
		if id := jobs.JobIDFromKey(p.Key); id != p.Key {
			var rec jobs.Record
			if err := json.Unmarshal(p.Value, &rec); err != nil {
				t.Fatal(p.Key, err)
			}
			specs = append(specs, rec.Spec)
		}
	}
	raw, err = os.ReadFile("testdata/production/world.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &runningTasks); err != nil {
		t.Fatal(err)
	}
	return pairs, specs, runningTasks
}

// The leader reads the records that a production deployment wrote, and continues the assignment log
// within the store's upcoming lower limits. Version 0.3.0 reads the result as it was meant.
func TestContinuesProductionLog(t *testing.T) {
	discardLogs(t)
	pairs, specs, runningTasks := readProductionRecords(t)
	store := &segmentStore{t: t, keys: map[string]kvstore.KeyValue{}, maxValueBytes: 2 << 10, maxOps: 4}
	for _, p := range pairs {
		if strings.HasPrefix(p.Key, assignmentlog.Prefix) {
			store.keys[p.Key] = p
		}
		store.revision = max(store.revision, p.Revision)
	}
	leader := newLeaderFromLog(store, 5, specs)
	for _, line := range runningTasks {
		task, m, on := strings.Cut(line, " on ")
		if a := leader.state.Machines.ByID[m]; on && (a == nil || !slices.ContainsFunc(slices.Collect(maps.Values(a.Assignments)), func(a *cluster.Assignment) bool { return a.TaskName() == task })) {
			t.Errorf("%s is missing in the assignment log", line)
		}
	}
	if d := gocmp.Diff(readAsVersion030(t, store.pairs(), leader.Derived.Store.ChunkTasks), durableRecords(leader)); d != "" {
		t.Errorf("version 0.3.0 reads the log differently: %s", d)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for step := range 150 {
		startAndEndTasks(leader, random)
		b := leader.writer.Compose()
		if failed := store.apply(b); len(failed) > 0 {
			t.Fatal(failed)
		}
		leader.writer.HandleCommit(b, store.revision)
		if d := gocmp.Diff(readAsVersion030(t, store.pairs(), leader.Derived.Store.ChunkTasks), durableRecords(leader)); d != "" {
			t.Fatalf("step %d: version 0.3.0 reads the log differently: %s", step, d)
		}
		if step%40 == 39 { // a leader with the old limits writes larger segments for a while
			store.maxValueBytes, store.maxOps = 32<<10, 12
			leader = newLeaderFromLog(store, uint64(6+step), specs)
			for range 5 {
				startAndEndTasks(leader, random)
				b := leader.writer.Compose()
				store.apply(b)
				leader.writer.HandleCommit(b, store.revision)
			}
			store.maxValueBytes, store.maxOps = 2<<10, 4
			leader = newLeaderFromLog(store, uint64(7+step), specs)
		}
	}
}
