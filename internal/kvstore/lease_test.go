package kvstore

import (
	"errors"
	"testing"
)

// TestRevokeLeaseFailures guards against a lease that counts as revoked although the store has refused that: a
// controller would campaign while the last leader still renews it.
func TestRevokeLeaseFailures(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response cannedResponse
		want     error
	}{
		{"revoked", cannedResponse{status: 200, body: "{}"}, nil},
		{"expired before", cannedResponse{status: 404, body: "{}"}, nil},
		{"rejected", cannedResponse{status: 400, body: "{}"}, ErrNotExecuted},
		{"conflict", cannedResponse{status: 409, body: "{}"}, ErrNotExecuted},
		{"gone", cannedResponse{status: 410, body: "{}"}, ErrNotExecuted},
		{"outage", cannedResponse{status: 503}, ErrNotExecuted},
		{"no response", cannedResponse{err: errConnection}, ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := newTestClient(tc.response).RevokeLease(t.Context(), 7); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}
