package detection

import "testing"

// Revisions and tokens that grow tell of nothing; one that is lower does, until its
// reader has taken in that the service was put back.
func TestNumbersThatGoBack(t *testing.T) {
	var seen Watermark
	for _, n := range []uint64{0, 3, 3, 9} {
		if evidence, back := seen.Observe(seen.Baseline(), RevisionBack, "", n); back {
			t.Errorf("%d: %v", n, evidence)
		}
	}
	before := seen.Baseline()
	evidence, back := seen.Observe(seen.Baseline(), RevisionBack, "", 7)
	if !back || evidence.Known != 9 || evidence.Found != 7 || evidence.String() != "revision back (known 9, found 7)" {
		t.Errorf("7 after 9: %v %v", evidence, back)
	}
	if _, again := seen.Observe(before, RevisionBack, "", 7); again {
		t.Error("an answer to a request from before told of the same loss once more")
	}
	if seen.Advance(before, 9) {
		t.Error("what was asked for before the loss counts after it")
	}
	if _, back := seen.Observe(seen.Baseline(), RevisionBack, "", 8); back || seen.Value() != 8 {
		t.Error("still compared with what is lost")
	}
	asked := seen.Baseline()
	seen.Advance(asked, 5)
	seen.Advance(asked, 12)
	if evidence, back := seen.Observe(asked, RevisionBack, "", 11); back {
		t.Errorf("judged by what was not known when it was asked for: %v", evidence)
	}
	if evidence, back := seen.Observe(seen.Baseline(), RevisionBack, "", 11); !back || evidence.Known != 12 {
		t.Error("what a watch had shown was forgotten")
	}
	if PlausibleToken(1<<63, 5) || !PlausibleToken(900, 5) || !PlausibleToken(3, 5) {
		t.Error("tokens: one far ahead is none of ours, one a little ahead or behind may be")
	}
}
