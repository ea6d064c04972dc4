package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// pageSize is the maximum number of keys that one list request returns.
const pageSize = 1000

// Get reads one key. If the key does not exist, found is false and err is nil.
func (c *Client) Get(ctx context.Context, key string) (keyValue KeyValue, found bool, err error) {
	req := request{operation: "get " + key, method: http.MethodGet, path: "/keys/" + key, result: &keyValue}
	status, err := c.do(ctx, c.timeout, &req)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case status == http.StatusOK:
		return keyValue, true, nil
	case status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, req.unexpectedStatus(status)
}

// List returns all keys with a prefix, in order. The revision is that of the first page: a watch
// from there delivers every change that later pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) (keyValues []KeyValue, revision uint64, err error) {
	revision, err = c.ForEach(ctx, prefix, func(keyValue KeyValue) { keyValues = append(keyValues, keyValue) })
	if err != nil {
		return nil, 0, err
	}
	return keyValues, revision, nil
}

// ForEach is like List, for more keys than fit into memory: it calls visit for each key, in order.
// If it returns an error, it may already have called visit for some of the keys.
func (c *Client) ForEach(ctx context.Context, prefix string, visit func(KeyValue)) (revision uint64, err error) {
	return c.ForEachPaced(ctx, prefix, 0, visit)
}

// ForEachPaced is like ForEach, but pauses between pages to leave capacity for other requests.
func (c *Client) ForEachPaced(ctx context.Context, prefix string, pause time.Duration, visit func(KeyValue)) (revision uint64, err error) {
	after := ""
	for {
		page, err := c.page(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, keyValue := range page.KeyValues {
			visit(keyValue)
		}
		if !page.More || len(page.KeyValues) == 0 {
			return revision, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
		if pause > 0 {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(pause):
			}
		}
	}
}

// page reads the first page of the keys with a prefix that sort after the key after, or of all keys
// with the prefix if after is empty.
func (c *Client) page(ctx context.Context, prefix, after string) (page keyPage, err error) {
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(pageSize)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	req := request{operation: "list " + prefix, method: http.MethodGet, path: path, result: &page, largeResponse: true}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusOK {
		err = req.unexpectedStatus(status)
	}
	return page, err
}

// absentKey is a key that is never written. The response for a missing key contains the store's
// revision.
const absentKey = "nothing"

// Revision returns a revision of the store that is at least as new as the start of the call.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	var response revisionResponse
	req := request{operation: "revision", method: http.MethodGet, path: "/keys/" + absentKey, result: &response}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusNotFound {
		err = req.unexpectedStatus(status)
	}
	return response.Revision, err
}
