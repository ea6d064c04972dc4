// Package cloud is the HTTP client of the cloud that provides machines. It reads the catalog of
// machine types, and provisions, releases and lists machines, within the request rate that the cloud
// allows. Package autoscaler decides what to provision.
package cloud

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

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
)

// Limits of the cloud's protocol for one request. The limit for provisioning is
// [autoscaler.MaxMachinesPerRequest], because the autoscaler plans with it.
const (
	// MaxMachinesPerRelease is the maximum number of machines in one call of Release.
	MaxMachinesPerRelease = 100
	// maxPageSize is the maximum number of machines in one page of the list.
	maxPageSize = 500
)

// ErrNoCapacity means that the cloud currently has no machine of the requested kind and provisioned
// none.
var ErrNoCapacity = errors.New(noCapacityMessage)

// StatusError means that the cloud responded with a status other than 200.
type StatusError struct {
	Code    int
	Message string // error message of the cloud; may be empty
}

func (e *StatusError) Error() string { return fmt.Sprintf("cloud: status %d %s", e.Code, e.Message) }

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states that the cloud reports.
const (
	StateBooting MachineState = "booting"
	StateRunning MachineState = "running"
	StateFailed  MachineState = "failed"
)

// ListedMachine is an entry of the cloud's list of machines.
type ListedMachine struct {
	ID    string
	Addr  string // host:port on which the machine's worker listens
	Type  string
	Zone  string
	Spot  bool
	State MachineState
	AgeS  float64 // seconds since it was provisioned
}

// ProvisionRequest requests Count machines of one pool. Name is its idempotency key: the cloud
// executes a request once, however often it is sent, so a name must never be reused for another
// request.
type ProvisionRequest struct {
	Name string
	autoscaler.MachinePool
	Count int
}

// Client is a client of the cloud. It is safe for concurrent use by multiple goroutines.
type Client struct {
	baseURL        string
	http           *http.Client
	timeout        time.Duration // of one request, including its wait for the rate limit
	limiter        *rate.Limiter
	releaseLimiter *rate.Limiter // separate, so that a release never waits for other requests
}

// releaseRateShare is the fraction of the request rate that is reserved for releases.
const releaseRateShare = 0.25

// NewClient returns a client of the cloud at addr, a host:port, that sends at most requestsPerS
// requests per second through transport. Each request takes at most timeout, including its wait for
// the rate limit.
func NewClient(addr string, transport http.RoundTripper, timeout time.Duration, requestsPerS float64) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		timeout:        timeout,
		limiter:        newLimiter(requestsPerS * (1 - releaseRateShare)),
		releaseLimiter: newLimiter(requestsPerS * releaseRateShare),
		http:           &http.Client{Transport: transport},
	}
}

// newLimiter returns a limiter with a burst of one second's worth of requests, but at least one.
func newLimiter(requestsPerS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(requestsPerS), max(1, int(requestsPerS)))
}

// Catalog returns the machine types with their current prices. An empty catalog is an error.
func (c *Client) Catalog(ctx context.Context) ([]jobs.MachineType, error) {
	var catalog wireCatalog
	if err := c.call(ctx, c.limiter, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, err
	}
	if len(catalog.Types) == 0 {
		return nil, errors.New("cloud: catalog has no machine types")
	}
	return catalog.Types, nil
}

// Provision requests machines and returns the IDs of those provisioned, which may be fewer than
// requested. After any error other than ErrNoCapacity the outcome is unknown, and the caller must
// send the same request again.
func (c *Client) Provision(ctx context.Context, request ProvisionRequest) ([]string, error) {
	var response wireProvisionResponse
	err := c.call(ctx, c.limiter, http.MethodPost, "/rentals", encodeProvisionRequest(request), &response)
	return response.Machines, err
}

// Release releases up to MaxMachinesPerRelease machines. If it returns nil, the machines and
// everything that ran on them are gone.
func (c *Client) Release(ctx context.Context, ids []string) error {
	return c.call(ctx, c.releaseLimiter, http.MethodPost, "/rentals/release", wireReleaseRequest{Machines: ids}, nil)
}

// ListMachines returns all machines of the cloud's list, which lags behind their actual state, and
// the number of requests that it sent, also after an error.
func (c *Client) ListMachines(ctx context.Context) (all []ListedMachine, pages int, err error) {
	after := ""
	for {
		pages++
		var page wireMachinePage
		path := fmt.Sprintf("/rentals?after=%s&most=%d", url.QueryEscape(after), maxPageSize)
		if err := c.call(ctx, c.limiter, http.MethodGet, path, nil, &page); err != nil {
			return nil, pages, err
		}
		for _, machine := range page.Machines {
			all = append(all, machine.decode())
		}
		if !page.More || len(page.Machines) == 0 {
			return all, pages, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

// call waits for limiter, sends a request with body as JSON, unless it is nil, and decodes the
// response into result, unless that is nil. It returns ErrNoCapacity or a *StatusError for any
// status other than 200.
func (c *Client) call(ctx context.Context, limiter *rate.Limiter, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return err
	}
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, raw)
	}
	if result == nil {
		return nil
	}
	return wirejson.Unmarshal(raw, result)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	return http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
}

// responseError returns the error that a response means. If the body is not JSON, the error has only
// the status.
func responseError(status int, body []byte) error {
	var decoded wireError
	_ = wirejson.Unmarshal(body, &decoded)
	if status == http.StatusServiceUnavailable && decoded.Error == noCapacityMessage {
		return ErrNoCapacity
	}
	return &StatusError{Code: status, Message: decoded.Error}
}
