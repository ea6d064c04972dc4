package election

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/recovery/detection"
)

// noted collects what a keeper tells of lost keys.
type noted struct {
	mu  sync.Mutex
	all []detection.Evidence
}

func (n *noted) add(l detection.Evidence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, l)
}

func (n *noted) has(kind detection.Kind) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.all {
		if l.Kind == kind {
			return true
		}
	}
	return false
}

// loseTerm runs two keepers, has the state service lose keys, and checks in every
// moment of the next minute that no two hold the term and no token is given out twice.
func loseTerm(t *testing.T, lose func(*emulator.KVStore)) (seen *noted, tokens []uint64) {
	seen = &noted{}
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		first, firstTerms, stopFirst := keep(t, world, "perch-0", nil)
		time.Sleep(time.Second)
		second, secondTerms, stopSecond := keep(t, world, "perch-1", nil)
		first.Lost, second.Lost = seen.add, seen.add
		time.Sleep(5300 * time.Millisecond) // between two looks of the holder at its key
		if !first.Valid() || second.Valid() {
			t.Fatal("the first one should lead")
		}
		if len(seen.all) > 0 {
			t.Errorf("a loss was noticed where there was none: %v", seen.all)
		}
		lose(store)
		for range 6000 {
			time.Sleep(10 * time.Millisecond)
			if first.Valid() && second.Valid() {
				t.Fatal("two nodes hold the term")
			}
		}
		if !first.Valid() && !second.Valid() {
			t.Error("nobody leads a minute later")
		}
		stopFirst()
		stopSecond()
		world.Wait()
		tokens = append(firstTerms(), secondTerms()...)
		given := map[uint64]bool{}
		for _, token := range tokens {
			if given[token] {
				t.Errorf("token %d was given out twice: %v", token, tokens)
			}
			given[token] = true
		}
	})
	return seen, tokens
}

// The term's key is lost while its lease lives on: the holder renews what holds nothing.
// It must have stopped before another leads.
func TestHolderKeyLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		seen, tokens := loseTerm(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithKey(HolderKey)) })
		if !seen.has(detection.HolderLost) || len(tokens) < 2 {
			t.Errorf("silently %v: noticed %v, tokens %v", silently, seen.all, tokens)
		}
	}
}

// All keys of the term are lost: the next token is above all that were given out.
func TestAllTermKeysLost(t *testing.T) {
	for _, silently := range []bool{false, true} {
		seen, tokens := loseTerm(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithPrefix(prefix)) })
		if !seen.has(detection.HolderLost) || !seen.has(detection.TokenBack) {
			t.Errorf("silently %v: noticed %v, tokens %v", silently, seen.all, tokens)
		}
	}
}

// The service is put back to before the term: its holder is one that has long ended.
func TestTermPutBack(t *testing.T) {
	var before emulator.StoreBackup
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		before = store.Backup() // empty
		k, terms, stop := keep(t, world, "perch-0", nil)
		seen := &noted{}
		k.Lost = seen.add
		time.Sleep(3 * time.Second)
		store.Restore(before)
		time.Sleep(10 * time.Second)
		if got := terms(); len(got) < 2 || got[1] <= got[0] || !k.Valid() {
			t.Errorf("tokens %v after the service was put back, leading %v", got, k.Valid())
		}
		if !seen.has(detection.TokenBack) {
			t.Error("that the token went back was not noticed")
		}
		stop()
		world.Wait()
	})
}

// A holder that ends by itself, or whose lease ends, is no loss.
func TestEndOfATermIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		seen := &noted{}
		first, _, stopFirst := keep(t, world, "perch-0", nil)
		first.Lost = seen.add
		time.Sleep(time.Second)
		second, _, stopSecond := keep(t, world, "perch-1", nil)
		second.Lost = seen.add
		time.Sleep(3 * time.Second)
		store.SetRefused("perch-0", true) // its lease ends
		time.Sleep(10 * time.Second)
		if !second.Valid() {
			t.Error("the second one does not lead")
		}
		store.SetRefused("perch-0", false)
		time.Sleep(3 * time.Second)
		store.SetOutage(true)
		time.Sleep(10 * time.Second)
		store.SetOutage(false)
		time.Sleep(5 * time.Second)
		stopSecond() // ends its lease itself
		time.Sleep(5 * time.Second)
		if !first.Valid() || len(seen.all) > 0 {
			t.Errorf("first leads: %v; noticed %v", first.Valid(), seen.all)
		}
		stopFirst()
		world.Wait()
	})
}

// The service is put back to an earlier term, whose lease is long over: nothing would ever
// remove its holder's key. Who knows that others have followed takes the term all the same.
func TestPutBackToAnEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		_, _, stopFirst := keep(t, world, "perch-0", nil)
		time.Sleep(time.Second)
		second, secondTerms, stopSecond := keep(t, world, "perch-1", nil)
		third, thirdTerms, stopThird := keep(t, world, "perch-2", nil)
		time.Sleep(3 * time.Second)
		before := store.Backup()
		stopFirst()
		time.Sleep(5 * time.Second)
		if !second.Valid() && !third.Valid() {
			t.Fatal("nobody has followed")
		}
		store.Restore(before)
		for range 1500 {
			time.Sleep(10 * time.Millisecond)
			if second.Valid() && third.Valid() {
				t.Fatal("two nodes hold the term")
			}
		}
		if !second.Valid() && !third.Valid() {
			t.Error("nobody leads after the service was put back")
		}
		stopSecond()
		stopThird()
		world.Wait()
		if tokens := append(secondTerms(), thirdTerms()...); len(tokens) < 2 || tokens[0] == tokens[1] {
			t.Errorf("tokens %v", tokens)
		}
	})
}
