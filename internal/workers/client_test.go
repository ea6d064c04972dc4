package workers

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Status 200 or 409 tells whether the worker executed the commands. Any other status must leave the
// outcome unknown.
func TestClientResponseStatus(t *testing.T) {
	status := 0
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"host":"m-000231","soar":2}`))
	}))
	t.Cleanup(worker.Close)
	addr := strings.TrimPrefix(worker.URL, "http://")
	client := NewClient(http.DefaultTransport, time.Second)
	for _, tc := range []struct {
		status            int
		executed, unknown bool
		probeErr          error
	}{
		{status: http.StatusOK, executed: true},
		{status: http.StatusConflict, probeErr: ErrProbeRefused},
		{status: http.StatusBadGateway, unknown: true, probeErr: &StatusError{http.StatusBadGateway}},
	} {
		status = tc.status
		heartbeat, executed, err := client.SendCommands(t.Context(), addr, CommandRequest{FencingToken: 41, AgentEpoch: 2})
		if executed != tc.executed || (err != nil) != tc.unknown {
			t.Errorf("status %d: commands executed %v, error %v", tc.status, executed, err)
		}
		if err == nil && (heartbeat.Machine != "m-000231" || heartbeat.AgentEpoch != 2) {
			t.Errorf("status %d: decoded heartbeat %+v", tc.status, heartbeat)
		}
		_, err = client.Probe(t.Context(), addr)
		var wantStatus *StatusError
		switch {
		case errors.As(tc.probeErr, &wantStatus):
			var got *StatusError
			if !errors.As(err, &got) || got.Status != wantStatus.Status {
				t.Errorf("status %d: probe error %v", tc.status, err)
			}
		case !errors.Is(err, tc.probeErr):
			t.Errorf("status %d: probe error %v", tc.status, err)
		}
	}
}
