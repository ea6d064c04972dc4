package election

import (
	"testing"
	"time"

	"ospreyslip/internal/election/rules"
)

// The promise is what keeps two nodes from leading while the holder lives on
// promises. Times are in units of one promise.
func TestPromise(t *testing.T) {
	life := time.Second
	at := func(units float64) time.Duration { return time.Duration(units * float64(life)) }

	t.Run("a promise forbids campaigns until it ends", func(t *testing.T) {
		var p lockedGrantor
		if !p.grant(at(0), life, 7) {
			t.Fatal("nothing stands against it")
		}
		if p.beginCampaign(at(0.9), false, 7) {
			t.Error("campaigned within the promise")
		}
		if !p.beginCampaign(at(1.1), false, 7) {
			t.Error("the promise is over")
		}
	})
	t.Run("no promise while a campaign may still succeed", func(t *testing.T) {
		var p lockedGrantor
		p.beginCampaign(at(0), false, 7) // built on token 7; its outcome is never learnt
		if p.grant(at(60), life, 7) {
			t.Error("the late campaign could unseat the holder of token 7")
		}
		if !p.grant(at(60), life, 8) {
			t.Error("token 8 came after the campaign, which can no longer succeed")
		}
	})
	t.Run("a settled campaign stands against nothing", func(t *testing.T) {
		var p lockedGrantor
		p.beginCampaign(at(0), false, 7)
		p.campaignSettled()
		if !p.grant(at(0.1), life, 7) {
			t.Error("refused without a reason")
		}
	})
	t.Run("a new life waits out what an earlier one may have promised", func(t *testing.T) {
		p := lockedGrantor{grantor: rules.RestartedGrantor(at(0), life)}
		if p.beginCampaign(at(0.5), false, 7) {
			t.Error("campaigned within the earlier life's promise")
		}
		if !p.beginCampaign(at(0.5), true, 7) {
			t.Error("its own earlier life held the term, so that it had promised nobody")
		}
		p = lockedGrantor{grantor: rules.RestartedGrantor(at(0), life)}
		p.grant(at(0.2), life, 7)
		if p.beginCampaign(at(0.5), true, 7) {
			t.Error("a promise of this life binds in any case")
		}
	})
	t.Run("no promise to a holder that has been succeeded", func(t *testing.T) {
		var p lockedGrantor
		p.observeToken(8)
		if p.grant(at(0), life, 7) || !p.grant(at(0), life, 8) {
			t.Error("token 8 was given out")
		}
	})
	t.Run("promises only grow", func(t *testing.T) {
		var p lockedGrantor
		p.grant(at(0), 3*life, 7)
		p.grant(at(1), life, 7)
		if left := p.campaignDelay(at(1), false); left != 2*life {
			t.Errorf("left %v", left)
		}
	})
}
