package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Watch returns the changes under a prefix after a revision. An empty result
// means that there was none while it waited, or that the service cannot tell: only
// a revision that has reached one asked for with Revision proves anything.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (revision uint64, changes []Change, err error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&waitMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	var out struct {
		Tide uint64   `json:"tide"`
		Log  []Change `json:"log"`
	}
	status, err := c.do(ctx, wait+c.wait, http.MethodGet, path, nil, &out)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusGone:
		return 0, nil, ErrCompacted
	case status != http.StatusOK:
		return 0, nil, unexpected(status, "watch")
	}
	return out.Tide, out.Log, nil
}
