package kvstore

import (
	"context"
	"io"
	"time"
)

// progressTimeout cancels a request that has made no progress for a duration.
type progressTimeout struct {
	duration time.Duration
	timer    *time.Timer
	cancel   context.CancelCauseFunc
}

// withProgressTimeout returns a context that is cancelled once the duration has passed without any
// part of the response. The caller must call stop.
func withProgressTimeout(ctx context.Context, duration time.Duration) (context.Context, *progressTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, &progressTimeout{duration, timer, cancel}
}

// stop releases the resources of the context.
func (p *progressTimeout) stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// reader returns a reader of the response body, each part of which restarts the timeout.
func (p *progressTimeout) reader(body io.Reader) io.Reader { return progressReader{body, p} }

// progressReader restarts a timeout with each part that it reads.
type progressReader struct {
	io.Reader
	timeout *progressTimeout
}

// Read implements [io.Reader].
func (r progressReader) Read(buffer []byte) (n int, err error) {
	n, err = r.Reader.Read(buffer)
	if n > 0 {
		r.timeout.timer.Reset(r.timeout.duration)
	}
	return n, err
}
