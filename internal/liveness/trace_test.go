package liveness

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each trace is a short story in testdata: what happens, and behind each tick
// what must come of it. Times are in seconds; the periods are those below.
//
//	0    heard m-1 a 1/5       a report, zone a, session 1, counter 5
//	2    restore m-1 a         known from an earlier leader
//	3    order m-1             an order was sent, its answer is lost
//	3    answered m-1 1/7      an order's answer
//	4    suspect m-1           there are signs that it is gone
//	4    deaf m-1              it does not hear our answers
//	4    weighs m-1 2          so much depends on it
//	4    call m-1 failed       outcome of a call
//	4    call m-1 1/6
//	5    tick = call m-1; dead m-2 call failed; held; disrupted
var traceConfig = Config{
	SuspectAfter: 3 * time.Second, LeaseExpiry: 10 * time.Second, HoldTimeout: 4 * time.Second, VerdictInterval: time.Second, MachinesPerVerdict: 4,
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) { play(t, f) })
	}
}

func play(t *testing.T, file string) {
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	cfg := traceConfig
	if raw, err := os.ReadFile(file); err != nil || strings.Contains(string(raw), "(dark)") {
		cfg.GroupSuspectAfter = 2 * time.Second // elsewhere zones are too small for it to matter
	}
	weights := map[string]int{}
	cfg.Importance = func(id string) int { return weights[id] }
	w := New(cfg)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		event, want, _ := strings.Cut(line, "=")
		f := strings.Fields(event)
		if len(f) == 0 {
			continue
		}
		at, err := strconv.ParseFloat(f[0], 64)
		if err != nil {
			t.Fatalf("%s:%d: %v", file, n, err)
		}
		now := start.Add(time.Duration(at * float64(time.Second)))
		switch f[1] {
		case "heard":
			w.Heartbeat(f[2], f[3], parse(t, f[4]), now)
		case "restore":
			w.Restore(f[2], f[3], now)
		case "order":
			w.CommandSent(f[2])
		case "answered":
			w.CommandAnswered(f[2], parse(t, f[3]))
		case "suspect":
			w.Suspect(f[2])
		case "deaf":
			w.MarkUnreachable(f[2])
		case "weighs":
			weights[f[2]], _ = strconv.Atoi(f[3])
		case "forget":
			w.Forget(f[2])
		case "call":
			if f[3] == "failed" {
				w.ProbeDone(f[2], false, HeartbeatSeq{}, now)
			} else {
				w.ProbeDone(f[2], true, parse(t, f[3]), now)
			}
		case "tick":
			var got []string
			calls, verdicts := w.Tick(now, 100)
			for _, c := range calls {
				got = append(got, "call "+c)
			}
			for _, v := range verdicts {
				got = append(got, fmt.Sprintf("dead %s %s", v.Machine, v.Reason))
			}
			if w.VerdictsOnHold(now) {
				got = append(got, "held")
			}
			if w.FullDisruption() {
				got = append(got, "disrupted")
			}
			for _, zone := range []string{"a", "b"} {
				if w.ZoneFellSilent(zone, now, 100*time.Second) {
					got = append(got, "zone "+zone+" is dark")
				}
			}
			if d := cmp.Diff(strings.TrimSpace(want), strings.Join(got, "; ")); d != "" {
				t.Errorf("%s:%d (-want +got):\n%s", file, n, d)
			}
		default:
			t.Fatalf("%s:%d: unknown event %q", file, n, f[1])
		}
	}
}

func parse(t *testing.T, s string) HeartbeatSeq {
	var c HeartbeatSeq
	if _, err := fmt.Sscanf(s, "%d/%d", &c.Session, &c.Seq); err != nil {
		t.Fatal(err)
	}
	return c
}
