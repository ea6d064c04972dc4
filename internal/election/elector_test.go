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

// newTestElector makes an elector whose requests go through a network to the store there.
func newTestElector(network *emulator.Network, node string) *Elector {
	limits := kvstore.RateLimits{RequestsPerSecond: 100, WritesPerSecond: 50}
	return NewElector(node, kvstore.New("state:1", network.Transport(node), time.Second, limits), testTiming)
}

// runningElector records the fencing tokens of the terms that its node wins.
type runningElector struct {
	*Elector
	stop func() // ends Run and waits for its return

	mu     sync.Mutex
	tokens []uint64
}

// startElector runs an elector; configure, if any, sets its hooks before.
func startElector(t *testing.T, network *emulator.Network, node string, configure func(*Elector)) *runningElector {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	running := &runningElector{Elector: newTestElector(network, node)}
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

// wonTokens returns the fencing tokens of all terms up to now.
func (r *runningElector) wonTokens() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.tokens)
}

// grantingAfter configures an elector whose peers all grant each lease, or all refuse it, after
// a delay.
func grantingAfter(delay time.Duration, granted bool) func(*Elector) {
	return func(e *Elector) {
		e.RequestPeerLeases = func(context.Context, uint64) bool {
			time.Sleep(delay) // whatever the deadline says
			return granted
		}
	}
}

// Peer leases keep a term only without a gap. Grants that arrive when the validity has ended must
// not bring the old term back: another node may have won one since.
func TestLatePeerLeaseRevivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		pastValidity := 3 * time.Second
		elector := startElector(t, network, "perch-0", grantingAfter(pastValidity, true))
		time.Sleep(5 * time.Second)
		if !elector.IsLeader() || len(elector.wonTokens()) != 1 {
			t.Fatal("no term to begin with")
		}
		store.SetOutage(true)
		time.Sleep(2500 * time.Millisecond)
		for range 40 {
			if elector.IsLeader() {
				t.Fatal("the term came back after a gap in its validity")
			}
			time.Sleep(250 * time.Millisecond)
		}
		store.SetOutage(false)
		time.Sleep(10 * time.Second)
		if tokens := elector.wonTokens(); len(tokens) != 2 || tokens[1] <= tokens[0] {
			t.Errorf("after the outage a new term with a higher token was due: %v", tokens)
		}
		elector.stop()
		network.Wait()
	})
}

// A node grants peer leases in an outage only: a store that is merely over its limit still takes
// cancellations, which the leader would not see.
func TestPeerLeaseNeedsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		elector := newTestElector(network, "perch-0")
		if elector.GrantPeerLease(t.Context(), 1) {
			t.Error("granted while served")
		}
		store.SetOverloaded(true)
		if elector.GrantPeerLease(t.Context(), 1) {
			t.Error("granted while the store was over its limit")
		}
		store.SetOverloaded(false)
		store.SetOutage(true)
		if !elector.GrantPeerLease(t.Context(), 1) {
			t.Error("refused in an outage")
		}
		network.Wait()
	})
}

// Two nodes, one store: the second leads only when the first has stopped, and the token of a
// holder that resigned or was cut off is never used again.
func TestHandOver(t *testing.T) {
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
				t.Fatal("two leaders along the way")
			}
		}
		if tokens := second.wonTokens(); len(tokens) == 0 || tokens[0] < 2 {
			t.Errorf("perch-1 was due to lead once: %v", tokens)
		}
		// A refusal comes at once: it must not be asked for again at once.
		if requests == 0 || requests > 40 {
			t.Errorf("peer leases were requested %d times in some ten seconds without the store", requests)
		}
		first.stop()
		second.stop()
		network.Wait()
	})
}

// On a starved processor, or with a slow store, the answer to a renewal may take most of the
// lease. The next renewal does not wait for it, and each that is answered counts from when it was
// sent: the term is kept.
func TestSlowRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		network.Lateness = testTiming.ValidFor * 7 / 10 // of what the rule below calls slow
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
				t.Fatal("the term is lost though each renewal is answered in time")
			}
		}
		if tokens := elector.wonTokens(); len(tokens) != 1 {
			t.Errorf("terms: %v", tokens)
		}
		elector.stop()
		network.Wait()
	})
}
