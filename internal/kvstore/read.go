package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Get reads one key. A key that does not exist is found == false with no error.
func (c *Client) Get(ctx context.Context, key string) (p KeyValue, found bool, err error) {
	status, err := c.do(ctx, c.wait, http.MethodGet, "/keys/"+key, nil, &p)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case status == http.StatusOK:
		return p, true, nil
	case status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, unexpected(status, "get "+key)
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there sees every change that later pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) (pairs []KeyValue, revision uint64, err error) {
	revision, err = c.ForEach(ctx, prefix, func(p KeyValue) { pairs = append(pairs, p) })
	if err != nil {
		return nil, 0, err
	}
	return pairs, revision, nil
}

// ForEach is List for keys of which there may be more than fit into memory: it hands over
// one after the other. After an error, some may have been handed over.
func (c *Client) ForEach(ctx context.Context, prefix string, take func(KeyValue)) (revision uint64, err error) {
	return c.ForEachPaced(ctx, prefix, 0, take)
}

// ForEachPaced is Each with a pause between two pages, so that others get their turn.
func (c *Client) ForEachPaced(ctx context.Context, prefix string, pause time.Duration, take func(KeyValue)) (revision uint64, err error) {
	after := ""
	for {
		page, err := c.page(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Tide
		}
		for _, p := range page.Pairs {
			take(p)
		}
		if !page.More || len(page.Pairs) == 0 {
			return revision, nil
		}
		after = page.Pairs[len(page.Pairs)-1].Key
		if pause > 0 {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(pause):
			}
		}
	}
}

// keyPage is a part of the keys with a prefix.
type keyPage struct {
	Pairs []KeyValue `json:"pairs"`
	More  bool       `json:"hasNext"`
	Tide  uint64     `json:"tide"`
}

func (c *Client) page(ctx context.Context, prefix, after string) (page keyPage, err error) {
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&most=1000"
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	status, err := c.do(ctx, c.wait, http.MethodGet, path, nil, &page)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, "list "+prefix)
	}
	return page, err
}

// noKey is a key that is never written: the answer that it does not exist tells
// the revision.
const noKey = "nothing"

// Revision returns a revision that is no older than the call.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	var out struct {
		Tide uint64 `json:"tide"`
	}
	status, err := c.do(ctx, c.wait, http.MethodGet, "/keys/"+noKey, nil, &out)
	if err == nil && status != http.StatusNotFound {
		err = unexpected(status, "revision")
	}
	return out.Tide, err
}
