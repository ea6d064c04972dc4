package election

import (
	"testing"
	"time"

	"ospreyslip/internal/election/rules"
)

// Peer leases are what keeps two nodes from leading while the leader relies on them. Times are in
// units of one lease duration.
func TestPeerLease(t *testing.T) {
	lease := time.Second
	at := func(units float64) time.Duration { return time.Duration(units * float64(lease)) }

	t.Run("a grant forbids campaigns until it ends", func(t *testing.T) {
		var grantor lockedGrantor
		if !grantor.grant(at(0), lease, 7) {
			t.Fatal("nothing stands against it")
		}
		if grantor.beginCampaign(at(0.9), false, 7) {
			t.Error("campaigned while the grant binds")
		}
		if !grantor.beginCampaign(at(1.1), false, 7) {
			t.Error("the grant has ended")
		}
	})
	t.Run("no grant while a campaign may still succeed", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.beginCampaign(at(0), false, 7) // its outcome is never learnt
		if grantor.grant(at(60), lease, 7) {
			t.Error("the late campaign could unseat the leader with token 7")
		}
		if !grantor.grant(at(60), lease, 8) {
			t.Error("token 8 came after the campaign, which can no longer succeed")
		}
	})
	t.Run("a settled campaign stands against nothing", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.beginCampaign(at(0), false, 7)
		grantor.campaignSettled()
		if !grantor.grant(at(0.1), lease, 7) {
			t.Error("refused without a reason")
		}
	})
	t.Run("a new incarnation waits out what an earlier one may have granted", func(t *testing.T) {
		grantor := lockedGrantor{grantor: rules.RestartedGrantor(at(0), lease)}
		if grantor.beginCampaign(at(0.5), false, 7) {
			t.Error("campaigned while an earlier incarnation's grant may bind")
		}
		if !grantor.beginCampaign(at(0.5), true, 7) {
			t.Error("its own earlier incarnation led, so that it had granted nobody a lease")
		}
		grantor = lockedGrantor{grantor: rules.RestartedGrantor(at(0), lease)}
		grantor.grant(at(0.2), lease, 7)
		if grantor.beginCampaign(at(0.5), true, 7) {
			t.Error("a grant of this incarnation binds in any case")
		}
	})
	t.Run("no grant to a leader that has been succeeded", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.observeToken(8)
		if grantor.grant(at(0), lease, 7) || !grantor.grant(at(0), lease, 8) {
			t.Error("token 8 was issued")
		}
	})
	t.Run("a later grant never ends an earlier one sooner", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.grant(at(0), 3*lease, 7)
		grantor.grant(at(1), lease, 7)
		if delay := grantor.campaignDelay(at(1), false); delay != 2*lease {
			t.Errorf("campaigns are delayed by %v", delay)
		}
	})
}
