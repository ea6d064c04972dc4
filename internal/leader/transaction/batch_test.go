package transaction

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCallbacksRunInOrderAndInReverseOnFailure(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome func(b *Batch)
		want    []string
	}{
		{"committed", func(b *Batch) { b.Committed(9) }, []string{"commit 1", "commit 2"}},
		{"failed", (*Batch).Failed, []string{"fail 2", "fail 1"}},
		{"guard of a written key failed", func(b *Batch) { b.HandleConflict("2", 9) }, []string{"conflict 2"}},
		{"guard of an unwritten key failed", func(b *Batch) { b.HandleConflict("0", 9) }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ran []string
			b := New()
			b.Guard("0", 1)
			for _, key := range []string{"1", "2"} {
				b.Set(key, 1, nil, func(uint64) { ran = append(ran, "conflict "+key) })
				b.OnCommit(func(uint64) { ran = append(ran, "commit "+key) })
				b.OnFailure(func() { ran = append(ran, "fail "+key) })
			}
			tc.outcome(b)
			if d := cmp.Diff(tc.want, ran); d != "" {
				t.Error(d)
			}
		})
	}
}
