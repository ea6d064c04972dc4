package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/leader/cluster"
)

// A zone that is cut off has commands time out by the hundred. They must not keep
// the commands waiting that can arrive.
func TestCommandsThatCanArriveGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s := newScenario(t, now)
		machine, _ := s.addMachine("m-1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 20 {
			lost := cluster.NewMachine(fmt.Sprint("m-9", i), now)
			lost.Phase, lost.Worker.Session, lost.Addr, lost.Worker.LeaseUntil = cluster.Up, 1, "10.1.0.9:9000", now.Add(time.Hour)
			s.Notify(lost) // from an earlier leader's records: it has not reported to this one
		}
		s.Send(ctx, now)
		if s.inFlight != 2 {
			t.Errorf("%d of 4 orders at a time to machines that may not answer", s.inFlight)
		}
		s.Notify(machine)
		s.Send(ctx, now)
		if !machine.Commands.RequestInFlight {
			t.Error("a machine that reports waits behind those that do not")
		}
		cancel()
		synctest.Wait()
	})
}
