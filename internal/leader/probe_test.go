package leader

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ospreyslip/internal/liveness"
)

// A probe that fails because this process is out of sockets proves nothing about the machine: it is
// repeated and confirms no death. A probe without a response from the machine confirms its death.
func TestProbeWithoutSocket(t *testing.T) {
	noSocket := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	for _, tc := range []struct {
		name string
		err  error
		dead bool
	}{
		{"no socket left", fmt.Errorf("Get: %w", noSocket), false},
		{"no response", context.DeadlineExceeded, true},
		{"refused", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, true},
		{"unreadable", errors.New("unexpected end of JSON input"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, m, _, now := newTestLeader()
			l.detector.Heartbeat("m-2", "b", liveness.HeartbeatSeq{AgentEpoch: 1, Seq: 1}, now)
			now = now.Add(3 * time.Second) // m-1 is silent
			l.detector.Heartbeat("m-2", "b", liveness.HeartbeatSeq{AgentEpoch: 1, Seq: 2}, now)
			if probes, _ := l.detector.Tick(now, 9); len(probes) != 1 || probes[0] != m.ID {
				t.Fatalf("probes: %v", probes)
			}
			l.handleProbeResult(m, nil, tc.err, now)
			now = now.Add(500 * time.Millisecond)
			l.detector.Heartbeat("m-2", "b", liveness.HeartbeatSeq{AgentEpoch: 1, Seq: 3}, now)
			probes, verdicts := l.detector.Tick(now, 9)
			if dead := len(verdicts) > 0; dead != tc.dead || (len(probes) == 1) == tc.dead {
				t.Errorf("repeated probes: %v, verdicts: %v", probes, verdicts)
			}
		})
	}
}
