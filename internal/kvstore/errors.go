package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrNotExecuted means that the request was definitely not executed.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrRateLimited accompanies ErrNotExecuted if the reason was a rate limit of the store, or
	// this client's own limit of requests. It is no sign of an outage.
	ErrRateLimited = errors.New("rate limit exceeded")
	// ErrInvalidRequest accompanies ErrNotExecuted if the store rejected the request itself, for
	// example as too large. A retry of the same request would be rejected again.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrOutcomeUnknown means that the request may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked. The request wrote nothing.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch requested changes that the store no longer keeps.
	ErrCompacted = errors.New("requested changes have been compacted")
)

// RequestError is the error of a failed request.
type RequestError struct {
	Operation string // for example "get term/holder"
	Status    int    // HTTP status of the response; 0 if there was none
	Err       error  // wraps one of the Err values of this package
}

func (e *RequestError) Error() string { return e.Operation + ": " + e.Err.Error() }

// Unwrap returns the wrapped error, for errors.Is and errors.As.
func (e *RequestError) Unwrap() error { return e.Err }

// newError returns the error of a request with the status of its response, or 0 if it got none.
func (r *request) newError(status int, reason error) error {
	return &RequestError{Operation: r.operation, Status: status, Err: reason}
}

// unexpectedStatus returns the error of a request whose response has a status that the protocol does
// not define for it.
func (r *request) unexpectedStatus(status int) error {
	return r.newError(status, fmt.Errorf("%w: status %d", ErrNotExecuted, status))
}
