// Package autoscaler rents machines and gives them back.
package autoscaler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"ospreyslip/internal/jobs"
)

// The cloud's limits for one request, from the protocol.
const (
	MaxMachinesPerRequest = 50
	MaxMachinesPerRelease = 100
	maxPage               = 500
)

// ErrNoCapacity means that none of these machines is to be had now.
var ErrNoCapacity = errors.New("no capacity")

// States of a machine in the cloud's list.
const (
	StateBooting = "booting"
	StateRunning = "running"
	StateFailed  = "failed"
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"perchKind"`
	Zone  string  `json:"eyrie"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"stance"`
	AgeS  float64 `json:"ageS"`
}

// MachinePool is what can be rented.
type MachinePool struct {
	Type, Zone string
	Spot       bool
}

// ProvisionRequest asks for machines. Its name is never used for another.
type ProvisionRequest struct {
	Name string
	MachinePool
	Count int
}

// Client is a client of the cloud.
type Client struct {
	base  string
	http  *http.Client
	wait  time.Duration
	limit *rate.Limiter
	back  *rate.Limiter // for giving back: it waits for nothing else
}

// backShare is the part of the requests that is kept for giving machines back.
const backShare = 0.25

// NewClient makes a client that sends at most rps requests a second.
func NewClient(addr string, rt http.RoundTripper, wait time.Duration, rps float64) *Client {
	return &Client{
		base:  "http://" + addr,
		wait:  wait,
		limit: rate.NewLimiter(rate.Limit(rps*(1-backShare)), max(1, int(rps*(1-backShare)))),
		back:  rate.NewLimiter(rate.Limit(rps*backShare), max(1, int(rps*backShare))),
		http:  &http.Client{Transport: rt},
	}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return c.within(ctx, c.limit, method, path, in, out)
}

func (c *Client) within(ctx context.Context, limit *rate.Limiter, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if err := limit.Wait(ctx); err != nil {
		return err
	}
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var e struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(raw, &e)
		if resp.StatusCode == http.StatusServiceUnavailable && e.Error == ErrNoCapacity.Error() {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: status %d %s", resp.StatusCode, e.Error)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) ([]jobs.MachineType, error) {
	var out struct {
		Types []jobs.MachineType `json:"perches"`
	}
	if err := c.do(ctx, http.MethodGet, "/catalog", nil, &out); err != nil {
		return nil, err
	}
	if len(out.Types) == 0 {
		return nil, errors.New("cloud: empty catalog")
	}
	return out.Types, nil
}

// Provision rents machines and returns their names. After any error but
// ErrNoCapacity the same rental must be sent again: it may have been carried out.
func (c *Client) Provision(ctx context.Context, r ProvisionRequest) ([]string, error) {
	in := struct {
		Name  string `json:"charter"`
		Type  string `json:"perchKind"`
		Zone  string `json:"eyrie"`
		Spot  bool   `json:"driftwood"`
		Count int    `json:"number"`
	}{r.Name, r.Type, r.Zone, r.Spot, r.Count}
	var out struct {
		Machines []string `json:"hosts"`
	}
	err := c.do(ctx, http.MethodPost, "/rentals", in, &out)
	return out.Machines, err
}

// Release gives machines back. Without an error they, and all that ran on
// them, are gone.
func (c *Client) Release(ctx context.Context, ids []string) error {
	return c.within(ctx, c.back, http.MethodPost, "/rentals/release", map[string][]string{"hosts": ids}, nil)
}

// ListMachines returns the cloud's machines as they were some time ago, and how many
// requests that took.
func (c *Client) ListMachines(ctx context.Context) (all []ListedMachine, pages int, err error) {
	after := ""
	for {
		pages++
		var page struct {
			Machines []ListedMachine `json:"hosts"`
			More     bool            `json:"hasNext"`
		}
		path := fmt.Sprintf("/rentals?after=%s&most=%d", url.QueryEscape(after), maxPage)
		if err := c.do(ctx, http.MethodGet, path, nil, &page); err != nil {
			return nil, pages, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, pages, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
