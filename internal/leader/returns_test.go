package leader

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/cloud"
)

// handlerTransport answers requests by a handler in this process.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, errors.Join(err, http.ErrHandlerTimeout)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// The term is not covered for a moment, just when machines are to be given back, and a late
// renewal covers it again: they go back all the same, and those that come after them.
func TestReleaseWhileTheTermIsUncovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, m, _, now := bench()
		released := 0
		l.Cloud = cloud.NewClient("cloud:1", handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			released++
			w.WriteHeader(http.StatusOK)
		})}, time.Second, 10)
		l.Derived.Report = time.Second
		l.events = make(chan func(time.Time), 8)
		covered := false
		l.Valid = func() bool { return covered }
		l.release(t.Context(), now, m)
		synctest.Wait()
		(<-l.events)(now)
		if released != 0 || m.phase != returning || !l.machines.has(m) {
			t.Fatalf("%d requests sent without a term, machine in phase %v", released, m.phase)
		}
		covered = true
		l.release(t.Context(), now) // as each look at the fleet does
		synctest.Wait()
		(<-l.events)(now)
		if released != 1 || l.machines.has(m) || l.returning || len(l.returns) > 0 {
			t.Errorf("%d requests, still known %v, waiting %v", released, l.machines.has(m), l.returns)
		}
	})
}
