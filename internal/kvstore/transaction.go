package kvstore

import (
	"context"
	"fmt"
	"net/http"
)

// Commit executes a guarded transaction: all writes if every guard holds, otherwise none. If guards
// do not hold, failed names their keys and err is nil. The revision is that of the transaction, or
// that of the store if guards failed.
//
// After ErrOutcomeUnknown the transaction may have been executed, or may still be. If it writes a
// key that it guards, a retry with the same guards is safe: whichever copy is executed second finds
// the revision of that key changed, and fails.
func (c *Client) Commit(ctx context.Context, guards []Guard, writes []Write) (revision uint64, failed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var response commitResponse
	req := request{
		operation: "commit", method: http.MethodPost, path: "/commit",
		body: commitRequest{Guards: guards, Writes: writes}, result: &response,
	}
	if n := len(writes); n > 0 {
		if err := c.writeLimiter.WaitN(ctx, min(n, c.writeLimiter.Burst())); err != nil {
			return 0, nil, req.newError(0, fmt.Errorf("%w: write rate: %w", ErrNotExecuted, err))
		}
	}
	status, err := c.do(ctx, c.timeout, &req)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK:
		return response.Revision, nil, nil
	case status == http.StatusConflict:
		return response.Revision, response.Failed, nil
	case status == http.StatusBadRequest && response.Error == leaseNotFoundText:
		return 0, nil, req.newError(status, ErrLeaseNotFound)
	case status == http.StatusBadRequest:
		return 0, nil, req.newError(status, fmt.Errorf("%w: %w: %s", ErrNotExecuted, ErrInvalidRequest, response.Error))
	}
	return 0, nil, req.unexpectedStatus(status)
}
