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

// lossRecorder records the losses of keys that electors report.
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

// loseKeys runs two electors, makes the store lose keys, and checks every 10 ms of the next minute
// that no two controllers lead. It also checks that no token is issued twice.
func loseKeys(t *testing.T, lose func(*emulator.KVStore)) (reported *lossRecorder, tokens []uint64) {
	t.Helper()
	reported = &lossRecorder{}
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		first := startElector(t, network, "perch-0", reported.record)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", reported.record)
		time.Sleep(5300 * time.Millisecond) // between two reads of the holder key by its holder
		if !first.IsLeader() || second.IsLeader() {
			t.Fatal("want perch-0 alone to lead")
		}
		if losses := reported.all(); len(losses) > 0 {
			t.Errorf("losses were reported before any key was lost: %v", losses)
		}
		lose(store)
		for range 6000 {
			time.Sleep(10 * time.Millisecond)
			if first.IsLeader() && second.IsLeader() {
				t.Fatal("two controllers lead at the same time")
			}
		}
		if !first.IsLeader() && !second.IsLeader() {
			t.Error("no controller leads one minute after the loss")
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

// Checks that a leader stops before another controller leads if the holder key is lost while its
// lease is alive. The leader can still renew the lease, but the lease no longer
// protects the key.
func TestNoTwoLeadersAfterHolderKeyLoss(t *testing.T) {
	for _, silently := range []bool{false, true} {
		reported, tokens := loseKeys(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithKey(HolderKey)) })
		if !reported.has(detection.HolderKeyLost) || len(tokens) < 2 {
			t.Errorf("silently %v: reported losses %v, tokens %v", silently, reported.all(), tokens)
		}
	}
}

// Checks that the next token is higher than all issued ones after the store has lost all keys of
// the election.
func TestTokensGrowAfterLossOfElectionKeys(t *testing.T) {
	for _, silently := range []bool{false, true} {
		reported, tokens := loseKeys(t, func(s *emulator.KVStore) { s.LoseKeys(silently, emulator.WithPrefix(keyPrefix)) })
		if !reported.has(detection.HolderKeyLost) || !reported.has(detection.TokenRolledBack) {
			t.Errorf("silently %v: reported losses %v, tokens %v", silently, reported.all(), tokens)
		}
	}
}

// Checks that the controller wins a new term with a higher token after the store was rolled back
// to a state without keys of the election.
func TestNewTermAfterRollbackToEmptyStore(t *testing.T) {
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
			t.Errorf("tokens %v after the store was rolled back, leading: %v", tokens, elector.IsLeader())
		}
		if !reported.has(detection.TokenRolledBack) {
			t.Error("the lower token was not reported")
		}
		elector.stop()
		network.Wait()
	})
}

// Checks that no loss is reported for a term that ends because the holder stops, or because its
// lease expires.
func TestTermEndIsNotReportedAsLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		reported := &lossRecorder{}
		first := startElector(t, network, "perch-0", reported.record)
		time.Sleep(time.Second)
		second := startElector(t, network, "perch-1", reported.record)
		time.Sleep(3 * time.Second)
		store.SetRefused("perch-0", true) // the lease of perch-0 expires
		time.Sleep(10 * time.Second)
		if !second.IsLeader() {
			t.Error("perch-1 does not lead")
		}
		store.SetRefused("perch-0", false)
		time.Sleep(3 * time.Second)
		store.SetOutage(true)
		time.Sleep(10 * time.Second)
		store.SetOutage(false)
		time.Sleep(5 * time.Second)
		second.stop() // revokes its lease
		time.Sleep(5 * time.Second)
		if losses := reported.all(); !first.IsLeader() || len(losses) > 0 {
			t.Errorf("perch-0 leads: %v; reported losses: %v", first.IsLeader(), losses)
		}
		first.stop()
		network.Wait()
	})
}

// Checks that a controller becomes leader after the store was rolled back to an earlier term. The
// lease of that term no longer exists, so nothing else would ever remove its holder key. A
// controller that knows that the holder has been succeeded must therefore campaign.
func TestNewTermAfterRollbackToEarlierHolder(t *testing.T) {
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
			t.Fatal("no controller has succeeded perch-0")
		}
		store.Restore(earlier)
		for range 1500 {
			time.Sleep(10 * time.Millisecond)
			if second.IsLeader() && third.IsLeader() {
				t.Fatal("two controllers lead at the same time")
			}
		}
		if !second.IsLeader() && !third.IsLeader() {
			t.Error("no controller leads after the store was rolled back")
		}
		second.stop()
		third.stop()
		network.Wait()
		if tokens := append(second.wonTokens(), third.wonTokens()...); len(tokens) < 2 || tokens[0] == tokens[1] {
			t.Errorf("tokens %v, want at least two, the first two different", tokens)
		}
	})
}
