package liveness

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each trace in testdata lists the events of a few machines and, after each tick, its expected
// outcome. Times are in seconds; traceConfig has the timers. "(groups)" in a trace's comments
// enables the suspicion of whole zones.
//
//	0    heartbeat m-1 a 1/5     zone a, agent epoch 1, counter 5
//	2    restore m-1 a           known from an earlier leader
//	3    command m-1             a command was sent, and its response was lost
//	3    answered m-1 1/7        the sequence in the response to a command
//	4    suspect m-1             there is a sign that it is gone
//	4    unreachable m-1         the leader's responses do not reach it
//	4    importance m-1 2        how much depends on it
//	4    forget m-1              it was released
//	4    probe m-1 failed        outcome of a probe
//	4    probe m-1 1/6
//	5    tick = probe m-1; dead m-2 call failed; on hold; full disruption; zone a is silent
var traceConfig = Config{
	SuspectAfter: 3 * time.Second, LeaseExpiry: 10 * time.Second, HoldTimeout: 4 * time.Second,
	VerdictInterval: time.Second, MachinesPerVerdict: 4,
}

func TestDetectorTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) { playTrace(t, file) })
	}
}

func playTrace(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg := traceConfig
	if strings.Contains(string(raw), "(groups)") {
		cfg.GroupSuspectAfter = 2 * time.Second
	}
	importance := map[string]int{}
	cfg.Importance = func(id string) int { return importance[id] }
	player := tracePlayer{New(cfg), importance}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, line := range strings.Split(string(raw), "\n") {
		line, _, _ = strings.Cut(line, "#")
		event, want, _ := strings.Cut(line, "=")
		fields := strings.Fields(event)
		if len(fields) == 0 {
			continue
		}
		location := fmt.Sprintf("%s:%d", file, i+1)
		atS, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			t.Fatalf("%s: %v", location, err)
		}
		now := start.Add(time.Duration(atS * float64(time.Second)))
		if fields[1] != "tick" {
			player.event(t, location, fields[1], fields[2:], now)
		} else if d := cmp.Diff(strings.TrimSpace(want), player.tick(now)); d != "" {
			t.Errorf("%s (-want +got):\n%s", location, d)
		}
	}
}

// tracePlayer applies the events of a trace to a detector.
type tracePlayer struct {
	detector   *Detector
	importance map[string]int
}

// event applies any event other than a tick.
func (p *tracePlayer) event(t *testing.T, location, eventName string, args []string, now time.Time) {
	t.Helper()
	id := args[0]
	switch eventName {
	case "heartbeat":
		p.detector.Heartbeat(id, args[1], parseSeq(t, location, args[2]), now)
	case "restore":
		p.detector.Restore(id, args[1], now)
	case "command":
		p.detector.CommandSent(id)
	case "answered":
		p.detector.CommandAnswered(id, parseSeq(t, location, args[1]))
	case "suspect":
		p.detector.Suspect(id)
	case "unreachable":
		p.detector.MarkUnreachable(id)
	case "importance":
		value, err := strconv.Atoi(args[1])
		if err != nil {
			t.Fatalf("%s: %v", location, err)
		}
		p.importance[id] = value
	case "forget":
		p.detector.Forget(id)
	case "probe":
		if args[1] == "failed" {
			p.detector.ProbeDone(id, false, HeartbeatSeq{}, now)
		} else {
			p.detector.ProbeDone(id, true, parseSeq(t, location, args[1]), now)
		}
	default:
		t.Fatalf("%s: unknown event %q", location, eventName)
	}
}

// tick runs a tick and returns its outcome in the notation of the traces.
func (p *tracePlayer) tick(now time.Time) string {
	var got []string
	probes, verdicts := p.detector.Tick(now, 100)
	for _, id := range probes {
		got = append(got, "probe "+id)
	}
	for _, v := range verdicts {
		got = append(got, fmt.Sprintf("dead %s %s", v.Machine, v.Reason))
	}
	if p.detector.VerdictsOnHold(now) {
		got = append(got, "on hold")
	}
	if p.detector.FullDisruption() {
		got = append(got, "full disruption")
	}
	for _, zone := range []string{"a", "b"} {
		if p.detector.ZoneFellSilent(zone, now, 100*time.Second) {
			got = append(got, "zone "+zone+" is silent")
		}
	}
	return strings.Join(got, "; ")
}

func parseSeq(t *testing.T, location, s string) HeartbeatSeq {
	t.Helper()
	var seq HeartbeatSeq
	if _, err := fmt.Sscanf(s, "%d/%d", &seq.AgentEpoch, &seq.Seq); err != nil {
		t.Fatalf("%s: %v", location, err)
	}
	return seq
}
