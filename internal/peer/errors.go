package peer

import "errors"

// ErrNoResponse means that a controller did not answer, as it is away or of a version that
// does not know the question.
var ErrNoResponse = errors.New("no answer")

// errTooManyRows refuses a broken length before memory is set aside for it.
var errTooManyRows = errors.New("more rows than the message can hold")
