package peer

import (
	"errors"
	"fmt"

	"ospreyslip/internal/peer/wire"
)

var (
	// ErrNoResponse means that a controller did not respond in time: it can not be reached,
	// its queue is full, or its version does not know the request.
	ErrNoResponse = errors.New("no answer")

	// ErrMalformedMessage means that the bytes of a message do not hold together. The
	// connection on which it came is closed.
	ErrMalformedMessage = errors.New("malformed message")

	// errTooManyRows refuses a broken length before memory is set aside for it.
	errTooManyRows = errors.New("more rows than the message can hold")

	errNoBody             = errors.New("message without a body")
	errUnexpectedResponse = errors.New("unexpected message")
)

// UnknownPeerError names a controller that is not among the peers of the settings.
type UnknownPeerError struct{ Node string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("unknown node %q", e.Node) }

// messageSizeError refuses a message of more than maxMessage bytes.
type messageSizeError struct{ bytes uint32 }

func (e *messageSizeError) Error() string { return fmt.Sprintf("message of %d bytes", e.bytes) }

// unknownBodyError refuses a kind of message that this version does not know.
type unknownBodyError struct{ body wire.Body }

func (e *unknownBodyError) Error() string { return fmt.Sprintf("unknown kind of message %d", e.body) }
