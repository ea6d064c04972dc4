package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrNotExecuted means that the request was certainly not executed.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrRateLimited comes with ErrRefused where a limit was the reason, the service's or
	// this node's own: it says nothing of an outage.
	ErrRateLimited = errors.New("over the limit")
	// ErrInvalidRequest comes with ErrRefused where the request itself was the reason, as
	// it is larger than the service takes: sent again, it would be refused again.
	ErrInvalidRequest = errors.New("rejected as it is")
	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch asked for changes no longer kept.
	ErrCompacted = errors.New("changes no longer kept")
)

func unexpected(status int, what string) error {
	return fmt.Errorf("%w: %s: status %d", ErrNotExecuted, what, status)
}
