// Package httpbody reads the bodies of HTTP requests within limits of size and time, and tells a body that
// is wrong from one that did not arrive whole.
package httpbody

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrIncomplete means that a body did not arrive whole: the client has disconnected, or has not sent all of it
// in time. Nothing follows from it about the request, which the client may repeat.
var ErrIncomplete = errors.New("the request did not arrive whole")

// Reader reads a request's body. It fails with an [*http.MaxBytesError] if the body has more bytes than its limit,
// and with ErrIncomplete if the body does not arrive whole.
type Reader struct {
	body io.Reader
	read int
}

// NewReader returns a reader of the body of a request, of at most maxBytes.
func NewReader(w http.ResponseWriter, r *http.Request, maxBytes int64) *Reader {
	return &Reader{body: http.MaxBytesReader(w, r.Body, maxBytes)}
}

// BytesRead returns the number of bytes read so far.
func (r *Reader) BytesRead() int { return r.read }

// Read implements [io.Reader].
func (r *Reader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	r.read += n
	var tooLarge *http.MaxBytesError
	if err == nil || err == io.EOF || errors.As(err, &tooLarge) {
		return n, err
	}
	return n, fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// RejectionStatus returns the status of the response to a request whose body could not be read or decoded:
// 408 if it did not arrive whole, and otherwise 400.
func RejectionStatus(err error) int {
	if errors.Is(err, ErrIncomplete) {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// WithDeadline wraps a handler so that the body of each request must arrive within timeout of its head. Unlike
// [http.Server.ReadTimeout], the time does not begin when the connection is opened.
func WithDeadline(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Writers that do not support deadlines, such as those of tests, have no connection to wait for.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		next.ServeHTTP(w, r)
	})
}
