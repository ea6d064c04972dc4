package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson"
)

// requestTimeout bounds a request to one controller.
const requestTimeout = 10 * time.Second

// maxRefusalBytes bounds how much of an error response is read.
const maxRefusalBytes = 1 << 16

// leaderClient sends requests to the leader. It finds the leader by trying all controllers.
type leaderClient struct {
	addrs []string
	http  http.Client
}

func newLeaderClient(cfg *settings.Settings) *leaderClient {
	client := &leaderClient{addrs: []string{cfg.ClusterListen}, http: http.Client{Timeout: requestTimeout}}
	for _, peer := range cfg.Peers {
		client.addrs = append(client.addrs, peer.Addr)
	}
	return client
}

// errNotLeader means that a controller responded that it is not the leader.
var errNotLeader = errors.New("not the leader")

// do sends a request to each controller in turn until the leader responds, and decodes the response
// into result. A nil request sends an empty body. If the leader refuses the request, the error is
// a *refusalError.
func (c *leaderClient) do(ctx context.Context, method, path string, request, result any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return err
		}
	}
	var errs []error
	for _, addr := range c.addrs {
		err := c.send(ctx, method, addr, path, body, result)
		var refused *refusalError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", addr, err))
	}
	return fmt.Errorf("no controller answered as the leader: %w", joinOnOneLine(errs))
}

// joinOnOneLine joins the texts of errors into a single line.
func joinOnOneLine(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// refusalError is the leader's refusal of a request, with its reason.
type refusalError struct{ reason string }

func (e *refusalError) Error() string { return e.reason }

// send sends a request to one controller.
func (c *leaderClient) send(ctx context.Context, method, addr, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return wirejson.UnmarshalFirst(resp.Body, result)
	case http.StatusMisdirectedRequest:
		return errNotLeader
	}
	var refusal struct {
		Reason string `json:"error"`
	}
	_ = wirejson.UnmarshalFirst(io.LimitReader(resp.Body, maxRefusalBytes), &refusal)
	if resp.StatusCode == http.StatusServiceUnavailable || refusal.Reason == "" {
		return fmt.Errorf("status %d %s", resp.StatusCode, refusal.Reason)
	}
	return &refusalError{refusal.Reason}
}
