package workers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"
)

// maxResponseBytes bounds what is read of a worker's heartbeat: the protocol's limit for a
// line is 64 KiB, and lists of tasks may take several times that.
const maxResponseBytes = 16 * 64 << 10

// ErrProbeRefused means that a worker answered a probe, but not with a heartbeat.
var ErrProbeRefused = errors.New("inspect refused")

// StatusError is a worker's answer with a status that the protocol does not know.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// OutOfSockets tells whether a request failed since this process has no socket left: that
// says nothing of the worker.
func OutOfSockets(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Client sends requests to workers. It may be used by several goroutines.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient makes a client on a transport. Each request takes at most timeout.
func NewClient(transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{timeout: timeout, http: &http.Client{Transport: transport}}
}

// SendCommands sends commands to the worker at addr, once. It returns the worker's heartbeat
// after them, and whether they were executed: a worker refuses them for a fencing token or
// an epoch that is not current. With an error the outcome is unknown, and they may still be
// executed at any later time.
func (c *Client) SendCommands(ctx context.Context, addr string, request CommandRequest) (heartbeat *Heartbeat, executed bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, err
	}
	return c.do(ctx, http.MethodPost, "http://"+addr+"/orders", body)
}

// Probe asks the worker at addr for a heartbeat.
func (c *Client) Probe(ctx context.Context, addr string) (*Heartbeat, error) {
	heartbeat, ok, err := c.do(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err == nil && !ok {
		err = ErrProbeRefused
	}
	return heartbeat, err
}

// do sends one request. Executed is false where the worker answered 409.
func (c *Client) do(ctx context.Context, method, url string, body []byte) (heartbeat *Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// One message is sent once: a copy that the transport made by itself
	// could start a task again after its end was cleared.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, &StatusError{resp.StatusCode}
	}
	heartbeat = new(Heartbeat)
	if err := json.UnmarshalRead(io.LimitReader(resp.Body, maxResponseBytes), heartbeat); err != nil {
		return nil, false, err
	}
	return heartbeat, resp.StatusCode == http.StatusOK, nil
}
