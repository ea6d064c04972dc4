package kvstore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// slowStore is a transport that responds in parts, with a pause before each part.
type slowStore struct {
	parts []string
	pause time.Duration
}

func (s slowStore) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&slowBody{r.Context(), s}), Request: r}, nil
}

type slowBody struct {
	ctx context.Context
	slowStore
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(b.pause):
	}
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// TestLargeListOnBusyProcessor guards against a new leader that resigns because it cannot read a page of
// records within the timeout of a small request. A store that stops responding must still be noticed.
func TestLargeListOnBusyProcessor(t *testing.T) {
	page := []string{`{"pairs":[`, `{"k":"job/1","value":{},"mark":3},`, `{"k":"job/2","value":{},"mark":4}`, `],"hasNext":false,"tide":7}`}
	for _, tc := range []struct {
		name  string
		pause time.Duration
		want  error
	}{
		{"each part comes within the timeout", 900 * time.Millisecond, nil},
		{"a part takes longer than the timeout", 1100 * time.Millisecond, ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := New("state:1", slowStore{page, tc.pause}, time.Second, RateLimits{RequestsPerSecond: 100, WritesPerSecond: 100})
				keyValues, revision, err := client.List(t.Context(), "job/")
				if !errors.Is(err, tc.want) {
					t.Fatalf("error %v, want %v", err, tc.want)
				}
				if err == nil && (len(keyValues) != 2 || revision != 7) {
					t.Errorf("%d keys at revision %d", len(keyValues), revision)
				}
			})
		})
	}
}
