package kvstore

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// GrantLease creates a lease that expires once it has not been renewed for duration. When a lease
// expires or is revoked, the store removes the keys that are tied to it.
func (c *Client) GrantLease(ctx context.Context, duration time.Duration) (lease uint64, err error) {
	var response leaseResponse
	req := request{
		operation: "grant lease", method: http.MethodPost, path: "/grants",
		body: leaseRequest{Milliseconds: duration.Milliseconds()}, result: &response,
	}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusOK {
		err = req.unexpectedStatus(status)
	}
	return response.Lease, err
}

// RenewLease extends a lease to its full duration. It returns ErrLeaseNotFound if the lease has
// expired or was revoked. It bypasses this client's rate limits, because no other request is worth sending once
// leadership is lost. Only ctx bounds how long it takes.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	req := request{operation: "renew lease", method: http.MethodPost, path: leasePath(lease) + "/renew"}
	status, err := c.send(ctx, &req)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return req.newError(status, ErrLeaseNotFound)
	case status != http.StatusOK:
		return req.unexpectedStatus(status)
	}
	return nil
}

// RevokeLeaseIfAlive revokes a lease unless it has expired, and reports whether it was still alive.
// It determines that by renewing the lease. alive is true even if the revocation itself fails.
func (c *Client) RevokeLeaseIfAlive(ctx context.Context, lease uint64) (alive bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
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

// RevokeLease revokes a lease and removes the keys that are tied to it. It returns no error if the
// lease has already expired.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	req := request{operation: "revoke lease", method: http.MethodDelete, path: leasePath(lease)}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = req.unexpectedStatus(status)
	}
	return err
}

func leasePath(lease uint64) string { return "/grants/" + strconv.FormatUint(lease, 10) }
