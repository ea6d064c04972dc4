package election

import (
	"testing"
	"time"

	"ospreyslip/internal/election/rules"
)

// Checks the rules of peer leases that keep a second controller from leading while the leader
// relies on them. Times are in units of one lease duration.
func TestPeerLeaseRules(t *testing.T) {
	lease := time.Second
	at := func(units float64) time.Duration { return time.Duration(units * float64(lease)) }

	t.Run("a grant forbids campaigns until it expires", func(t *testing.T) {
		var grantor lockedGrantor
		if !grantor.grant(at(0), lease, 7) {
			t.Fatal("refused a lease although nothing conflicts with it")
		}
		if grantor.startCampaign(at(0.9), false, 7) {
			t.Error("campaigned while the granted lease binds")
		}
		if !grantor.startCampaign(at(1.1), false, 7) {
			t.Error("refused to campaign after the granted lease has expired")
		}
	})
	t.Run("no grant while a campaign may still succeed", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.startCampaign(at(0), false, 7) // its outcome remains unknown
		if grantor.grant(at(60), lease, 7) {
			t.Error("granted a lease to token 7, which the pending campaign may still succeed")
		}
		if !grantor.grant(at(60), lease, 8) {
			t.Error("refused a lease to token 8, against which the campaign can no longer succeed")
		}
	})
	t.Run("a grant is allowed after the campaign's outcome is known", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.startCampaign(at(0), false, 7)
		grantor.endCampaign()
		if !grantor.grant(at(0.1), lease, 7) {
			t.Error("refused a lease although no campaign is pending")
		}
	})
	t.Run("a new incarnation waits until leases that an earlier one may have granted have expired", func(t *testing.T) {
		grantor := lockedGrantor{grantor: rules.NewRestartedGrantor(at(0), lease)}
		if grantor.startCampaign(at(0.5), false, 7) {
			t.Error("campaigned while a lease granted by an earlier incarnation may bind")
		}
		if !grantor.startCampaign(at(0.5), true, 7) {
			t.Error("refused to campaign although its own earlier incarnation led, which granted no lease")
		}
		grantor = lockedGrantor{grantor: rules.NewRestartedGrantor(at(0), lease)}
		grantor.grant(at(0.2), lease, 7)
		if grantor.startCampaign(at(0.5), true, 7) {
			t.Error("campaigned while a lease granted by this incarnation binds")
		}
	})
	t.Run("no grant to a leader that has been succeeded", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.observeToken(8)
		if grantor.grant(at(0), lease, 7) || !grantor.grant(at(0), lease, 8) {
			t.Error("token 8 was issued: want a refusal for token 7 and a lease for token 8")
		}
	})
	t.Run("a later grant does not shorten an earlier one", func(t *testing.T) {
		var grantor lockedGrantor
		grantor.grant(at(0), 3*lease, 7)
		grantor.grant(at(1), lease, 7)
		if delay := grantor.campaignDelay(at(1), false); delay != 2*lease {
			t.Errorf("campaigns are delayed by %v, want 2 lease durations", delay)
		}
	})
}
