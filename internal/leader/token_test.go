package leader

import (
	"fmt"
	"testing"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/workers"
)

// A raised token makes each worker that sees it report once more. It is shown where
// something waits for it only: several ended tasks that were begun by orders, an ended
// task that is to begin again, or an order in doubt. With it, what waited is cleared.
func TestTokenByNeed(t *testing.T) {
	l, reports, now := fleetOf(t, 4)
	endedByOrder := func(r *workers.Heartbeat, tasks int, cause string) {
		for i := range tasks {
			task := workers.TaskStatus{Name: fmt.Sprintf("j-7/%d", 50+i), Attempt: uint64(9000 + i), State: workers.StateEnded, Cause: cause}
			l.state.Machines.ByID[r.Machine].Commands.StartedByRequest[cluster.RefOf(&task)] = l.fencing.Current
			r.Tasks = append(r.Tasks, task)
		}
	}
	few, many, again, doubt := reports[0], reports[1], reports[2], reports[3]
	endedByOrder(few, dispatch.MaxHeldAcknowledgements-1, workers.CauseDone)
	endedByOrder(many, dispatch.MaxHeldAcknowledgements, workers.CauseDone)
	endedByOrder(again, 1, workers.CauseStopped)
	l.state.Machines.ByID[doubt.Machine].Commands.InDoubtSince = now
	answer := func(r *workers.Heartbeat) *workers.HeartbeatResponse {
		r.Seq++
		a := l.answerHeartbeat(r, now)
		if a == nil {
			t.Fatalf("%s is not answered", r.Machine)
		}
		r.FencingToken = a.FencingToken
		return a
	}
	cleared := func(a *workers.HeartbeatResponse) (n int) {
		for _, c := range a.Commands {
			if c.Op == workers.OpClear {
				n++
			}
		}
		return n
	}
	for _, r := range reports {
		if a := answer(r); a.FencingToken != 5 || cleared(a) > 0 {
			t.Errorf("%s, before there is a higher token: %+v", r.Machine, a)
		}
	}
	if !l.fencing.AcknowledgementsHeld {
		t.Error("no higher token is asked for")
	}
	l.fencing.Current = 6
	for _, want := range []struct {
		r     *workers.Heartbeat
		token uint64
		clear int
	}{{few, 5, 0}, {many, 6, dispatch.MaxHeldAcknowledgements}, {again, 6, 1}, {doubt, 6, 0}} {
		if a := answer(want.r); a.FencingToken != want.token || cleared(a) > 0 {
			t.Errorf("%s: token %d, %d cleared at once; want %d, none", want.r.Machine, a.FencingToken, cleared(a), want.token)
		}
		if a := answer(want.r); cleared(a) != want.clear {
			t.Errorf("%s: %d cleared under token %d, want %d", want.r.Machine, cleared(a), want.r.FencingToken, want.clear)
		}
	}
	// An order carries the token that its machine knows, and never one from before.
	if got := l.dispatcher.TokenFor(l.state.Machines.ByID[few.Machine]); got != 5 {
		t.Errorf("token %d where nothing waits, want 5", got)
	}
	l.fencing.OfTerm, l.fencing.Current = 7, 7
	if got := l.dispatcher.TokenFor(l.state.Machines.ByID[few.Machine]); got != 7 {
		t.Errorf("token %d, of an earlier term", got)
	}
}
