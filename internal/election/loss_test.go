package election

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/recovery/detection"
)

// lossRecorder records what electors report of lost keys.
type lossRecorder struct {
	mu     sync.Mutex
	losses []detection.Evidence
}

func (r *lossRecorder) record(e *Elector) {
	e.ReportLoss = func(loss detection.Evidence) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.losses = append(r.losses, loss)
	}
}

func (r *lossRecorder) all() []detection.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.losses)
}

func (r *lossRecorder) has(kind detection.Kind) bool {
	return slices.ContainsFunc(r.all(), func(loss detection.Evidence) bool { return loss.Kind == kind })
}

// loseKeys runs two electors, has the store lose keys, and checks in every moment of the next
// minute that no two nodes lead. No token may be issued twice.
func loseKeys(t *testing.T, lose func(*emulator.KVStore)) (reported *lossRecorder, tokens []uint64) {
	t.Helper()
	reported = &lossRecorder{}
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		first := startElector(t, network, "perch-0", reported.record)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", reported.record)
		time.Sleep(5300 * time.Millisecond) // between two looks of the holder at its key
		if !first.IsLeader() || second.IsLeader() {
			t.Fatal("the first one should lead")
		}
		if losses := reported.all(); len(losses) > 0 {
			t.Errorf("a loss was noticed where there was none: %v", losses)
		}
		lose(store)
		for range 6000 {
			time.Sleep(10 * time.Millisecond)
			if first.IsLeader() && second.IsLeader() {
				t.Fatal("two nodes lead")
			}
		}
		if !first.IsLeader() && !second.IsLeader() {
			t.Error("nobody leads a minute later")
		}
		first.stop()
		second.stop()
		network.Wait()
		tokens = append(first.wonTokens(), second.wonTokens()...)
		issued := map[uint64]bool{}
		for _, token := range tokens {
			if issued[token] {
				t.Errorf("token %d was issued twice: %v", token, tokens)
			}
			issued[token] = true
		}
	})
	return reported, tokens
}

// The holder key is lost while its lease lives on: the holder renews what holds nothing.
// It must have stopped before another leads.
func TestHolderKeyLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		reported, tokens := loseKeys(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithKey(HolderKey)) })
		if !reported.has(detection.HolderLost) || len(tokens) < 2 {
			t.Errorf("silently %v: noticed %v, tokens %v", silently, reported.all(), tokens)
		}
	}
}

// All keys of the election are lost: the next token is above all that were issued.
func TestAllElectionKeysLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		reported, tokens := loseKeys(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithPrefix(keyPrefix)) })
		if !reported.has(detection.HolderLost) || !reported.has(detection.TokenBack) {
			t.Errorf("silently %v: noticed %v, tokens %v", silently, reported.all(), tokens)
		}
	}
}

// The store is put back to before the term, when there was no key of the election.
func TestStorePutBackToNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		empty := store.Backup()
		reported := &lossRecorder{}
		elector := startElector(t, network, "perch-0", reported.record)
		time.Sleep(3 * time.Second)
		store.Restore(empty)
		time.Sleep(10 * time.Second)
		if tokens := elector.wonTokens(); len(tokens) < 2 || tokens[1] <= tokens[0] || !elector.IsLeader() {
			t.Errorf("tokens %v after the store was put back, leading %v", tokens, elector.IsLeader())
		}
		if !reported.has(detection.TokenBack) {
			t.Error("that the token went back was not noticed")
		}
		elector.stop()
		network.Wait()
	})
}

// A holder that ends by itself, or whose lease ends, is no loss.
func TestEndOfATermIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		reported := &lossRecorder{}
		first := startElector(t, network, "perch-0", reported.record)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", reported.record)
		time.Sleep(3 * time.Second)
		store.SetRefused("perch-0", true) // its lease ends
		time.Sleep(10 * time.Second)
		if !second.IsLeader() {
			t.Error("the second one does not lead")
		}
		store.SetRefused("perch-0", false)
		time.Sleep(3 * time.Second)
		store.SetOutage(true)
		time.Sleep(10 * time.Second)
		store.SetOutage(false)
		time.Sleep(5 * time.Second)
		second.stop() // revokes its lease itself
		time.Sleep(5 * time.Second)
		if losses := reported.all(); !first.IsLeader() || len(losses) > 0 {
			t.Errorf("first leads: %v; noticed %v", first.IsLeader(), losses)
		}
		first.stop()
		network.Wait()
	})
}

// The store is put back to an earlier term, whose lease is long over: nothing would ever remove
// its holder key. A node that knows that others have succeeded that holder leads all the same.
func TestStorePutBackToAnEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		first := startElector(t, network, "perch-0", nil)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", nil)
		third := startElector(t, network, "perch-2", nil)
		time.Sleep(3 * time.Second)
		earlier := store.Backup()
		first.stop()
		time.Sleep(5 * time.Second)
		if !second.IsLeader() && !third.IsLeader() {
			t.Fatal("nobody has succeeded the first one")
		}
		store.Restore(earlier)
		for range 1500 {
			time.Sleep(10 * time.Millisecond)
			if second.IsLeader() && third.IsLeader() {
				t.Fatal("two nodes lead")
			}
		}
		if !second.IsLeader() && !third.IsLeader() {
			t.Error("nobody leads after the store was put back")
		}
		second.stop()
		third.stop()
		network.Wait()
		if tokens := append(second.wonTokens(), third.wonTokens()...); len(tokens) < 2 || tokens[0] == tokens[1] {
			t.Errorf("tokens %v", tokens)
		}
	})
}
