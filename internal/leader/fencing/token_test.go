package fencing

import "testing"

func TestNextIsAboveAllTokensSeen(t *testing.T) {
	token := New(5, 1)
	for _, tc := range []struct{ seen, want uint64 }{{3, 6}, {5, 6}, {8, 9}, {7, 9}, {12, 13}} {
		token.RequestRaiseAbove(tc.seen)
		if got := token.Next(); got != tc.want || !token.RaisePending || token.Current != 5 {
			t.Errorf("after %d was seen: next %d, want %d; %+v", tc.seen, got, tc.want, token)
		}
	}
}
