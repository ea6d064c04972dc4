package kvstore

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	var out struct {
		Lease uint64 `json:"tether"`
	}
	status, err := c.do(ctx, c.wait, http.MethodPost, "/grants", map[string]int64{"lifeMs": life.Milliseconds()}, &out)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, "grant")
	}
	return out.Lease, err
}

// Renew gives a lease its full time again. It passes by the node's own request
// budget: nothing else is worth sending when the term is lost. How long it may take is
// for the caller.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	status, err := c.send(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoLease
	case status != http.StatusOK:
		return unexpected(status, "renew")
	}
	return nil
}

// EndIfAlive ends a lease that still lives, and tells whether it did.
func (c *Client) EndIfAlive(ctx context.Context, lease uint64) (alive bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	err = c.Renew(ctx, lease)
	if errors.Is(err, ErrNoLease) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, c.Revoke(ctx, lease)
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, c.wait, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10), nil, nil)
	return err
}
