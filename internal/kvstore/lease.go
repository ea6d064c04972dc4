package kvstore

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var out struct {
		Lease uint64 `json:"tether"`
	}
	status, err := c.do(ctx, c.wait, http.MethodPost, "/grants", map[string]int64{"lifeMs": life.Milliseconds()}, &out)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, "grant")
	}
	return out.Lease, err
}

// RenewLease gives a lease its full time again. It passes by the node's own request
// budget: nothing else is worth sending when the term is lost. How long it may take is
// for the caller.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, err := c.send(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseNotFound
	case status != http.StatusOK:
		return unexpected(status, "renew")
	}
	return nil
}

// RevokeLeaseIfAlive ends a lease that still lives, and tells whether it did.
func (c *Client) RevokeLeaseIfAlive(ctx context.Context, lease uint64) (alive bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	err = c.RenewLease(ctx, lease)
	if errors.Is(err, ErrLeaseNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, c.RevokeLease(ctx, lease)
}

// RevokeLease ends a lease and removes its keys.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, c.wait, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10), nil, nil)
	return err
}
