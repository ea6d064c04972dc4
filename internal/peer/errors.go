package peer

import (
	"errors"
	"fmt"

	"ospreyslip/internal/peer/wire"
)

var (
	// ErrNoResponse means that a controller did not respond in time: it cannot be reached, the
	// queue of messages to it is full, or its version does not support the request.
	ErrNoResponse = errors.New("no response from the peer")

	// ErrMalformedMessage means that a message is not a valid FlatBuffers message. The
	// connection on which it arrived is closed.
	ErrMalformedMessage = errors.New("malformed message")

	// errVectorTooLong rejects a corrupt vector length before memory is allocated for it.
	errVectorTooLong = errors.New("vector length exceeds the message size")

	errNoBody             = errors.New("message has no body")
	errUnexpectedResponse = errors.New("received a message that is not a response")
)

// UnknownPeerError names a controller that is not one of the peers in the settings.
type UnknownPeerError struct{ Name string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("unknown node %q", e.Name) }

// messageSizeError rejects a message that is larger than maxMessageBytes.
type messageSizeError struct{ bytes uint32 }

func (e *messageSizeError) Error() string { return fmt.Sprintf("message of %d bytes", e.bytes) }

// unknownBodyError rejects a message of a type that this version does not know.
type unknownBodyError struct{ body wire.Body }

func (e *unknownBodyError) Error() string { return fmt.Sprintf("unknown kind of message %d", e.body) }
