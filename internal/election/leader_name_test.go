package election

import (
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
)

// TestLeaderKnowsItself guards against a leader that says after some seconds that no leader is known, as
// operators saw in "ospreyslip status".
func TestLeaderKnowsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		elector := startElector(t, network, "perch-0", nil)
		time.Sleep(2*testTiming.WatchTimeout + 4*testTiming.LeaseDuration)
		if name := elector.Leader(); !elector.IsLeader() || name != "perch-0" {
			t.Errorf("leads: %v, names %q as the leader", elector.IsLeader(), name)
		}
		store.SetOutage(true)
		time.Sleep(2*testTiming.WatchTimeout + 4*testTiming.LeaseDuration)
		if name := elector.Leader(); elector.IsLeader() || name != "" {
			t.Errorf("after an outage, leads: %v, names %q as the leader", elector.IsLeader(), name)
		}
		elector.stop()
		network.Wait()
	})
}
