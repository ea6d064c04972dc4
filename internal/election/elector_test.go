package election

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/kvstore"
)

var testTiming = Timing{
	LeaseDuration: 2 * time.Second, RenewPeriod: 400 * time.Millisecond, ValidFor: 1900 * time.Millisecond,
	WatchTimeout: time.Second, RetryPeriod: 400 * time.Millisecond,
}

// newTestElector returns an Elector whose requests go through the network to the store on it.
func newTestElector(network *emulator.Network, controller string) *Elector {
	limits := kvstore.RateLimits{RequestsPerSecond: 100, WritesPerSecond: 50}
	return NewElector(controller, kvstore.New("state:1", network.Transport(controller), time.Second, limits), testTiming)
}

// runningElector records the fencing tokens of the terms that its controller wins.
type runningElector struct {
	*Elector
	stop func() // ends Run and waits until it returns

	mu     sync.Mutex
	tokens []uint64
}

// startElector runs an elector. configure, unless nil, sets its hooks first.
func startElector(t *testing.T, network *emulator.Network, controller string, configure func(*Elector)) *runningElector {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	running := &runningElector{Elector: newTestElector(network, controller)}
	if configure != nil {
		configure(running.Elector)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		running.Run(ctx, func(ctx context.Context, term Term) {
			running.mu.Lock()
			running.tokens = append(running.tokens, term.FencingToken)
			running.mu.Unlock()
			<-ctx.Done()
		})
	}()
	running.stop = func() {
		cancel()
		<-done
	}
	return running
}

// wonTokens returns the fencing tokens of all terms won so far.
func (r *runningElector) wonTokens() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.tokens)
}

// grantingAfter returns a function that configures an elector whose peers all respond to a request
// for peer leases after a delay: all grant it, or all refuse it.
func grantingAfter(delay time.Duration, granted bool) func(*Elector) {
	return func(e *Elector) {
		e.RequestPeerLeases = func(context.Context, uint64) bool {
			time.Sleep(delay) // ignores the deadline of ctx
			return granted
		}
	}
}

// Checks that grants that arrive after the validity has expired do not restore the old term, because
// another controller may have won a term since.
func TestLatePeerLeaseDoesNotRestoreTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		pastValidity := 3 * time.Second
		elector := startElector(t, network, "perch-0", grantingAfter(pastValidity, true))
		time.Sleep(5 * time.Second)
		if !elector.IsLeader() || len(elector.wonTokens()) != 1 {
			t.Fatal("the controller did not win a first term")
		}
		store.SetOutage(true)
		time.Sleep(2500 * time.Millisecond)
		for range 40 {
			if elector.IsLeader() {
				t.Fatal("the term was restored after a gap in its validity")
			}
			time.Sleep(250 * time.Millisecond)
		}
		store.SetOutage(false)
		time.Sleep(10 * time.Second)
		if tokens := elector.wonTokens(); len(tokens) != 2 || tokens[1] <= tokens[0] {
			t.Errorf("tokens %v, want a second term with a higher token after the outage", tokens)
		}
		elector.stop()
		network.Wait()
	})
}

// Checks that a controller grants peer leases only while the store is unavailable. A store that
// only limits the request rate still accepts cancellations, which a leader on peer leases would not
// see.
func TestPeerLeaseGrantedOnlyDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		elector := newTestElector(network, "perch-0")
		if elector.GrantPeerLease(t.Context(), 1) {
			t.Error("granted a lease while the store was available")
		}
		store.SetOverloaded(true)
		if elector.GrantPeerLease(t.Context(), 1) {
			t.Error("granted a lease while the store was over its rate limit")
		}
		store.SetOverloaded(false)
		store.SetOutage(true)
		if !elector.GrantPeerLease(t.Context(), 1) {
			t.Error("refused a lease during an outage")
		}
		network.Wait()
	})
}

// Checks with two controllers and one store that the second leads only after the first has
// stopped, and that the token of a holder that resigned or lost its connection is never used again.
func TestLeadershipHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		requests := 0
		refuse := func(e *Elector) {
			e.RequestPeerLeases = func(context.Context, uint64) bool { requests++; return false }
		}
		first := startElector(t, network, "perch-0", refuse)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", refuse)
		for i := range 400 {
			switch i {
			case 50:
				store.SetRefused("perch-0", true)
			case 150:
				store.SetRefused("perch-0", false)
			case 200:
				network.SetFaults(func(from, _, _ string) emulator.Fault {
					if from == "perch-1" {
						return emulator.DropRequest
					}
					return emulator.Deliver
				})
			case 300:
				network.SetFaults(nil)
			}
			time.Sleep(50 * time.Millisecond)
			if first.IsLeader() && second.IsLeader() {
				t.Fatal("two controllers lead at the same time")
			}
		}
		if tokens := second.wonTokens(); len(tokens) == 0 || tokens[0] < 2 {
			t.Errorf("tokens of perch-1: %v, want at least one term after that of perch-0", tokens)
		}
		// A refusal arrives at once. It must not cause the next request at once.
		if requests == 0 || requests > 40 {
			t.Errorf("peer leases were requested %d times in about ten seconds without the store", requests)
		}
		first.stop()
		second.stop()
		network.Wait()
	})
}

// Checks that a term is kept if responses to renewals take most of the lease, as on a starved
// processor or with a slow store. The next renewal must not wait for the response, and each
// successful renewal must count from when it was sent.
func TestSlowRenewalResponsesKeepTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		network.Delay = testTiming.ValidFor * 7 / 10 // the delay of DeliverSlowly
		elector := startElector(t, network, "perch-0", grantingAfter(0, false))
		time.Sleep(time.Second)
		network.SetFaults(func(_, _, path string) emulator.Fault {
			if strings.HasSuffix(path, "/renew") {
				return emulator.DeliverSlowly
			}
			return emulator.Deliver
		})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !elector.IsLeader() {
				t.Fatal("the term ended although each renewal succeeded in time")
			}
		}
		if tokens := elector.wonTokens(); len(tokens) != 1 {
			t.Errorf("tokens %v, want a single term", tokens)
		}
		elector.stop()
		network.Wait()
	})
}
