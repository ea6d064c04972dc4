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

// maxReport bounds what is read of a worker's answer: 64 KiB a line, and a
// report is one line.
const maxReport = 64 << 10

// OutOfSockets tells whether a call failed since this process has no socket left: that says
// nothing of the worker.
func OutOfSockets(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// Client calls workers.
type Client struct {
	http *http.Client
	wait time.Duration
}

// NewClient makes a client whose calls wait for at most wait.
func NewClient(rt http.RoundTripper, wait time.Duration) *Client {
	return &Client{wait: wait, http: &http.Client{Transport: rt}}
}

// SendCommands sends commands. ok tells whether they were executed; the report is the
// worker's own after that. With an error the outcome is unknown.
func (c *Client) SendCommands(ctx context.Context, addr string, o CommandRequest) (r *Heartbeat, ok bool, err error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return nil, false, err
	}
	return c.call(ctx, http.MethodPost, "http://"+addr+"/orders", raw)
}

// Probe asks for a worker's report.
func (c *Client) Probe(ctx context.Context, addr string) (*Heartbeat, error) {
	r, ok, err := c.call(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err == nil && !ok {
		err = fmt.Errorf("inspect refused")
	}
	return r, err
}

func (c *Client) call(ctx context.Context, method, url string, body []byte) (*Heartbeat, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
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
		return nil, false, fmt.Errorf("status %d", resp.StatusCode)
	}
	var r Heartbeat
	if err := json.UnmarshalRead(io.LimitReader(resp.Body, 16*maxReport), &r); err != nil {
		return nil, false, err
	}
	return &r, resp.StatusCode == http.StatusOK, nil
}
