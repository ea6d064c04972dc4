package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// Each worker that sees a raised token sends an extra heartbeat. The token must therefore be sent
// only to a machine where something waits for it: several ended tasks started by direct commands,
// an ended task that has to run again, or a command in doubt. Once the worker has seen the token,
// the ended tasks are cleared.
func TestHigherTokenIsSentOnlyWhereNeeded(t *testing.T) {
	s := newScenario(t, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	var heartbeats []*workers.Heartbeat
	for i := range 4 {
		machine, a := s.addMachine(fmt.Sprintf("m-%06d", i))
		a.Start.Sent = true
		running := workers.TaskStatus{Name: a.TaskName(), Attempt: a.Attempt, State: workers.StateRunning}
		heartbeats = append(heartbeats, &workers.Heartbeat{Machine: machine.ID, Addr: machine.Addr, AgentEpoch: 1, Seq: 1, FencingToken: 5, Tasks: []workers.TaskStatus{running}})
	}
	addEndedTasks := func(heartbeat *workers.Heartbeat, tasks int, cause string) {
		for i := range tasks {
			task := workers.TaskStatus{Name: fmt.Sprintf("j-7/%d", 50+i), Attempt: uint64(9000 + i), State: workers.StateEnded, Cause: cause}
			s.State.Machines.ByID[heartbeat.Machine].Commands.StartedByRequest[cluster.RefOf(&task)] = s.Fencing.Current
			heartbeat.Tasks = append(heartbeat.Tasks, task)
		}
	}
	belowLimit, atLimit, toRerun, inDoubt := heartbeats[0], heartbeats[1], heartbeats[2], heartbeats[3]
	addEndedTasks(belowLimit, MaxHeldAcknowledgements-1, workers.CauseDone)
	addEndedTasks(atLimit, MaxHeldAcknowledgements, workers.CauseDone)
	addEndedTasks(toRerun, 1, workers.CauseStopped)
	s.State.Machines.ByID[inDoubt.Machine].Commands.InDoubtSince = s.now
	exchangeHeartbeat := func(heartbeat *workers.Heartbeat) *workers.HeartbeatResponse {
		heartbeat.Seq++
		machine := s.State.Machines.ByID[heartbeat.Machine]
		s.Tasks.Observe(machine, heartbeat, s.now)
		if machine.Worker.Seq != heartbeat.Seq {
			t.Fatalf("%s: heartbeat was ignored", heartbeat.Machine)
		}
		a := s.HeartbeatResponse(machine)
		heartbeat.FencingToken = a.FencingToken
		return a
	}
	countCleared := func(a *workers.HeartbeatResponse) (n int) {
		for _, c := range a.Commands {
			if c.Op == workers.OpClear {
				n++
			}
		}
		return n
	}
	for _, heartbeat := range heartbeats {
		if a := exchangeHeartbeat(heartbeat); a.FencingToken != 5 || countCleared(a) > 0 {
			t.Errorf("%s: response before the token was raised: %+v", heartbeat.Machine, a)
		}
	}
	if !s.Fencing.AcknowledgementsHeld {
		t.Error("AcknowledgementsHeld is not set")
	}
	s.Fencing.Current = 6
	for _, want := range []struct {
		heartbeat *workers.Heartbeat
		token     uint64
		clear     int
	}{{belowLimit, 5, 0}, {atLimit, 6, MaxHeldAcknowledgements}, {toRerun, 6, 1}, {inDoubt, 6, 0}} {
		if a := exchangeHeartbeat(want.heartbeat); a.FencingToken != want.token || countCleared(a) > 0 {
			t.Errorf("%s: token %d, %d tasks cleared before the worker has seen it; want token %d, none cleared", want.heartbeat.Machine, a.FencingToken, countCleared(a), want.token)
		}
		if a := exchangeHeartbeat(want.heartbeat); countCleared(a) != want.clear {
			t.Errorf("%s: %d tasks cleared with token %d, want %d", want.heartbeat.Machine, countCleared(a), want.heartbeat.FencingToken, want.clear)
		}
	}
	// A command carries the token that its worker knows, but never one of an earlier term.
	if got := s.TokenFor(s.State.Machines.ByID[belowLimit.Machine]); got != 5 {
		t.Errorf("token %d for a machine where nothing waits for a higher one, want 5", got)
	}
	s.Fencing.TermToken, s.Fencing.Current = 7, 7
	if got := s.TokenFor(s.State.Machines.ByID[belowLimit.Machine]); got != 7 {
		t.Errorf("token %d is of an earlier term, want 7", got)
	}
}

func TestCommandsInDoubtRequestTokenRaise(t *testing.T) {
	for _, tc := range []struct {
		name   string
		token  uint64 // of the command without a response
		after  time.Duration
		raises bool
	}{
		{"before the timeout", 5, 2 * time.Second, false},
		{"after the timeout", 5, 3 * time.Second, true},
		{"superseded by the current token", 4, 3 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(t, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			machine, a := s.addMachine("m-1")
			request := workers.CommandRequest{FencingToken: tc.token, AgentEpoch: 1, Commands: s.CommandsFor(machine, false)}
			s.handleResponse(machine, request, commandResponse{err: context.DeadlineExceeded}, s.now)
			if s.ResolveInDoubt(s.now.Add(tc.after)); s.Fencing.RaisePending != tc.raises || a.Start.InDoubtToken != tc.token {
				t.Errorf("raise pending: %v; in doubt with token %d", s.Fencing.RaisePending, a.Start.InDoubtToken)
			}
		})
	}
}
