package kvstore

import (
	"context"
	"fmt"
	"net/http"
)

// Commit applies a transaction. Failed guards are returned by key with no
// error; then nothing was written. ErrUnknown leaves the outcome open.
func (c *Client) Commit(ctx context.Context, guards []Guard, writes []Write) (revision uint64, failed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if n := len(writes); n > 0 {
		if err := c.writes.WaitN(ctx, min(n, c.writes.Burst())); err != nil {
			return 0, nil, fmt.Errorf("%w: write budget: %w", ErrNotExecuted, err)
		}
	}
	in := struct {
		Guards []Guard `json:"guards"`
		Writes []Write `json:"writes"`
	}{guards, writes}
	var out struct {
		Tide   uint64   `json:"tide"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	status, err := c.do(ctx, c.wait, http.MethodPost, "/commit", in, &out)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK:
		return out.Tide, nil, nil
	case status == http.StatusConflict:
		return out.Tide, out.Failed, nil
	case status == http.StatusBadRequest && out.Error == "no such lease":
		return 0, nil, ErrLeaseNotFound
	case status == http.StatusBadRequest:
		return 0, nil, fmt.Errorf("%w: %w: %s", ErrNotExecuted, ErrInvalidRequest, out.Error)
	}
	return 0, nil, unexpected(status, "commit")
}
