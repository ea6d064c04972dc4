package election

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/kvstore"
)

var timing = Timing{
	Lease: 2 * time.Second, Renew: 400 * time.Millisecond, Safe: 1900 * time.Millisecond,
	WatchWait: time.Second, Retry: 400 * time.Millisecond,
}

// keep runs a keeper and records the tokens of its terms.
func keep(t *testing.T, world *emulator.Network, node string, promise func(context.Context, uint64) bool) (k *Keeper, terms func() []uint64, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	k = NewKeeper(node, kvstore.New("state:1", world.Transport(node), time.Second, kvstore.Budget{Requests: 100, Writes: 50}), timing)
	k.AllPromise = promise
	var mu sync.Mutex
	var tokens []uint64
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx, func(ctx context.Context, tm Term) {
			mu.Lock()
			tokens = append(tokens, tm.Token)
			mu.Unlock()
			<-ctx.Done()
		})
	}()
	return k, func() []uint64 {
			mu.Lock()
			defer mu.Unlock()
			return append([]uint64(nil), tokens...)
		}, func() {
			cancel()
			<-done
		}
}

// Promises keep a term only without a gap. One that arrives when the cover has
// ended must not bring the old term back: another may have taken it since.
func TestLatePromiseRevivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		slow := func(context.Context, uint64) bool {
			time.Sleep(3 * time.Second) // past all cover, whatever the deadline says
			return true
		}
		k, terms, stop := keep(t, world, "perch-0", slow)
		time.Sleep(5 * time.Second)
		if !k.Valid() || len(terms()) != 1 {
			t.Fatal("no term to begin with")
		}
		store.SetOutage(true)
		time.Sleep(2500 * time.Millisecond)
		for range 40 {
			if k.Valid() {
				t.Fatal("the term came back without a gapless cover")
			}
			time.Sleep(250 * time.Millisecond)
		}
		store.SetOutage(false)
		time.Sleep(10 * time.Second)
		if got := terms(); len(got) != 2 || got[1] <= got[0] {
			t.Errorf("after the outage a new term with a higher token was due: %v", got)
		}
		stop()
		world.Wait()
	})
}

// A node promises in an outage only: a service that is merely over its limit
// still takes cancellations, which the holder would not see.
func TestPromiseNeedsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		k := NewKeeper("perch-0", kvstore.New("state:1", world.Transport("perch-0"), time.Second, kvstore.Budget{Requests: 100, Writes: 50}), timing)
		if k.Promise(t.Context(), 1) {
			t.Error("promised while served")
		}
		store.SetOverloaded(true)
		if k.Promise(t.Context(), 1) {
			t.Error("promised while the service was over its limit")
		}
		store.SetOverloaded(false)
		store.SetOutage(true)
		if !k.Promise(t.Context(), 1) {
			t.Error("refused in an outage")
		}
		world.Wait()
	})
}

// Two nodes, one store: the second leads only when the first has stopped, and
// a resigned or cut-off holder's token is never used again.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		asked := 0
		never := func(context.Context, uint64) bool { asked++; return false }
		a, _, stopA := keep(t, world, "perch-0", never)
		time.Sleep(time.Second)
		b, termsB, stopB := keep(t, world, "perch-1", never)
		both := func(what string) {
			if a.Valid() && b.Valid() {
				t.Fatalf("two leaders: %s", what)
			}
		}
		for i := range 400 {
			switch i {
			case 50:
				store.SetRefused("perch-0", true)
			case 150:
				store.SetRefused("perch-0", false)
			case 200:
				world.SetFaults(func(from, _, _ string) emulator.Fault {
					if from == "perch-1" {
						return emulator.DropRequest
					}
					return emulator.Deliver
				})
			case 300:
				world.SetFaults(nil)
			}
			time.Sleep(50 * time.Millisecond)
			both("along the way")
		}
		if got := termsB(); len(got) == 0 || got[0] < 2 {
			t.Errorf("perch-1 was due to lead once: %v", got)
		}
		// A refusal comes at once: it must not be asked for again at once.
		if asked == 0 || asked > 40 {
			t.Errorf("asked %d times for promises in some ten seconds without the state service", asked)
		}
		stopA()
		stopB()
		world.Wait()
	})
}

// On a starved processor, or with a slow state service, the answer to a renewal may take
// most of the term. The next renewal does not wait for it, and each that is answered counts
// from when it was sent: the term is kept.
func TestSlowRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		world.Lateness = timing.Safe * 7 / 10 // of what the rule below calls slow
		never := func(context.Context, uint64) bool { return false }
		k, terms, stop := keep(t, world, "perch-0", never)
		time.Sleep(time.Second)
		world.SetFaults(func(_, _, path string) emulator.Fault {
			if strings.HasSuffix(path, "/renew") {
				return emulator.DeliverSlowly
			}
			return emulator.Deliver
		})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !k.Valid() {
				t.Fatal("the term is lost though each renewal is answered in time")
			}
		}
		if got := terms(); len(got) != 1 {
			t.Errorf("terms: %v", got)
		}
		stop()
		world.Wait()
	})
}
