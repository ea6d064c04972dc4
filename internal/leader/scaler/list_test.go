package scaler

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// termReads counts how often the term is asked for.
type termReads struct {
	*fakeHost
	count atomic.Int32
}

func (h *termReads) Term() uint64 {
	h.count.Add(1)
	return h.fakeHost.Term()
}

// TestPollListAsksNotForTerm guards against a data race: the list is polled on a goroutine of its own, and the
// event loop may raise the term's token meanwhile.
func TestPollListAsksNotForTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		f, _ := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		host := &termReads{fakeHost: f.host}
		f.Scaler.host = host
		ctx, cancel := context.WithCancel(t.Context())
		go f.PollList(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if requests == 0 || host.count.Load() != 0 {
			t.Errorf("%d lists failed, and the term was asked for %d times", requests, host.count.Load())
		}
	})
}
