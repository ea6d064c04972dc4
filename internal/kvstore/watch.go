package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Watch waits for changes after a revision to keys with a prefix, for at most wait. It returns the
// changes and the revision up to which they are complete. An empty result does not prove that
// nothing changed, as the store may be unable to tell: it does so only once the returned revision has
// reached one that Revision returned. Watch returns ErrCompacted if the store no longer keeps the
// changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (revision uint64, changes []Change, err error) {
	var response watchResponse
	req := request{
		operation: "watch " + prefix, method: http.MethodGet,
		path:   fmt.Sprintf("/watch?prefix=%s&after=%d&waitMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds()),
		result: &response, longPoll: true,
	}
	status, err := c.do(ctx, wait+c.timeout, &req)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusGone:
		return 0, nil, req.newError(status, ErrCompacted)
	case status != http.StatusOK:
		return 0, nil, req.unexpectedStatus(status)
	}
	return response.Revision, response.Changes, nil
}
