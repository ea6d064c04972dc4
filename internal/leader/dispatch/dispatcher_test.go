package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/leader/cluster"
)

// While a zone is partitioned, hundreds of command requests to it time out. They must not delay
// requests to reachable machines.
func TestUnresponsiveMachinesDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s := newScenario(t, now)
		machine, _ := s.addMachine("m-1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 20 {
			unresponsive := cluster.NewMachine(fmt.Sprint("m-9", i), now)
			unresponsive.Phase, unresponsive.Worker.AgentEpoch, unresponsive.Addr, unresponsive.Worker.LeaseUntil = cluster.Up, 1, "10.1.0.9:9000", now.Add(time.Hour)
			s.Notify(unresponsive) // known from records only: it has not reported to this leader
		}
		s.Send(ctx, now)
		if s.requestsInFlight != 2 {
			t.Errorf("%d of 4 requests in flight go to machines that may not respond, want 2", s.requestsInFlight)
		}
		s.Notify(machine)
		s.Send(ctx, now)
		if !machine.Commands.RequestInFlight {
			t.Error("the request to a machine that reports waits for those to machines that do not")
		}
		cancel()
		synctest.Wait()
	})
}
