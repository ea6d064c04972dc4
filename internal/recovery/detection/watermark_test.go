package detection

import "testing"

// Checks that a number that grows is no evidence, and that a lower one is evidence once: after
// that, the watermark continues from the lower number.
func TestWatermarkReportsRollbackOnce(t *testing.T) {
	var watermark Watermark
	for _, n := range []uint64{0, 3, 3, 9} {
		if evidence, rolledBack := watermark.Observe(watermark.Baseline(), RevisionRolledBack, "", n); rolledBack {
			t.Errorf("%d: %v", n, evidence)
		}
	}
	before := watermark.Baseline()
	evidence, rolledBack := watermark.Observe(watermark.Baseline(), RevisionRolledBack, "", 7)
	if !rolledBack || evidence.Known != 9 || evidence.Found != 7 || evidence.String() != "revision back (known 9, found 7)" {
		t.Errorf("7 after 9: %v %v", evidence, rolledBack)
	}
	if _, again := watermark.Observe(before, RevisionRolledBack, "", 7); again {
		t.Error("the response to an earlier request reported the same loss again")
	}
	if watermark.Advance(before, 9) {
		t.Error("a number requested before the loss was accepted after it")
	}
	if _, rolledBack := watermark.Observe(watermark.Baseline(), RevisionRolledBack, "", 8); rolledBack || watermark.Value() != 8 {
		t.Error("a number was compared with the watermark from before the rollback")
	}
	baseline := watermark.Baseline()
	watermark.Advance(baseline, 5)
	watermark.Advance(baseline, 12)
	if evidence, rolledBack := watermark.Observe(baseline, RevisionRolledBack, "", 11); rolledBack {
		t.Errorf("compared with a number that was not known at the baseline: %v", evidence)
	}
	if evidence, rolledBack := watermark.Observe(watermark.Baseline(), RevisionRolledBack, "", 11); !rolledBack || evidence.Known != 12 {
		t.Error("a number recorded by Advance was not compared")
	}
	if PlausibleToken(1<<63, 5) || !PlausibleToken(900, 5) || !PlausibleToken(3, 5) {
		t.Error("want a token far ahead to be implausible, and one a little ahead or behind to be plausible")
	}
}
