package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrNotExecuted means that the request was certainly not executed.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrRateLimited comes with ErrNotExecuted where a rate limit was the reason, the store's
	// or this client's own: it says nothing of an outage.
	ErrRateLimited = errors.New("over the limit")
	// ErrInvalidRequest comes with ErrNotExecuted where the request itself was the reason, as
	// it is larger than the store takes: sent again, it would be refused again.
	ErrInvalidRequest = errors.New("rejected as it is")
	// ErrOutcomeUnknown means that the request may have been executed, or may be later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseNotFound means that the lease has ended. Nothing was written.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch asked for changes that the store no longer keeps.
	ErrCompacted = errors.New("changes no longer kept")
)

// RequestError is the failure of one request.
type RequestError struct {
	Operation string // what was requested, such as "get term/holder"
	Status    int    // HTTP status of the answer; 0 if there was none
	Err       error  // wraps one of the Err values of this package
}

func (e *RequestError) Error() string { return e.Operation + ": " + e.Err.Error() }

// Unwrap returns the reason, for errors.Is and errors.As.
func (e *RequestError) Unwrap() error { return e.Err }

// failed is the error of a request whose answer had a status, or that got none (0).
func (r *request) failed(status int, reason error) error {
	return &RequestError{Operation: r.operation, Status: status, Err: reason}
}

// unexpected is the error of a request whose answer has a status that has no meaning for it.
func (r *request) unexpected(status int) error {
	return r.failed(status, fmt.Errorf("%w: status %d", ErrNotExecuted, status))
}
