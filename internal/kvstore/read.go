package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// pageSize is how many keys a listing asks for at a time.
const pageSize = 1000

// Get reads one key. A key that does not exist is found == false with no error.
func (c *Client) Get(ctx context.Context, key string) (keyValue KeyValue, found bool, err error) {
	req := request{operation: "get " + key, method: http.MethodGet, path: "/keys/" + key, answer: &keyValue}
	status, err := c.do(ctx, c.timeout, &req)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case status == http.StatusOK:
		return keyValue, true, nil
	case status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, req.unexpected(status)
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there sees every change that later pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) (keyValues []KeyValue, revision uint64, err error) {
	revision, err = c.ForEach(ctx, prefix, func(keyValue KeyValue) { keyValues = append(keyValues, keyValue) })
	if err != nil {
		return nil, 0, err
	}
	return keyValues, revision, nil
}

// ForEach is List for keys of which there may be more than fit into memory: it hands them to
// visit one after the other, in the order of their names. After an error, visit may have got
// some of them.
func (c *Client) ForEach(ctx context.Context, prefix string, visit func(KeyValue)) (revision uint64, err error) {
	return c.ForEachPaced(ctx, prefix, 0, visit)
}

// ForEachPaced is ForEach with a pause between two pages, so that other requests get their turn.
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

// page reads the keys with a prefix that come after one, as many as fit into an answer.
func (c *Client) page(ctx context.Context, prefix, after string) (page keyPage, err error) {
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(pageSize)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	req := request{operation: "list " + prefix, method: http.MethodGet, path: path, answer: &page}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusOK {
		err = req.unexpected(status)
	}
	return page, err
}

// noKey is a key that is never written: the answer that it does not exist tells
// the revision.
const noKey = "nothing"

// Revision returns a revision of the store that is no older than the call.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	var current revisionAnswer
	req := request{operation: "revision", method: http.MethodGet, path: "/keys/" + noKey, answer: &current}
	status, err := c.do(ctx, c.timeout, &req)
	if err == nil && status != http.StatusNotFound {
		err = req.unexpected(status)
	}
	return current.Revision, err
}
