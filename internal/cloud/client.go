// Package cloud is the HTTP client of the cloud that provides machines: its catalog, and the
// requests that provision, release and list machines. It keeps within the rate of requests
// that the cloud allows. What to provision is decided by package autoscaler.
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
)

// The cloud's limits for one request, from the protocol. That for provisioning is
// [autoscaler.MaxMachinesPerRequest], because plans are made by it.
const (
	// MaxMachinesPerRelease is how many machines one call of Release may name.
	MaxMachinesPerRelease = 100
	// maxPageSize is how many machines one page of the list may hold.
	maxPageSize = 500
)

// ErrNoCapacity means that the cloud has none of the machines asked for at present, and has
// provisioned none.
var ErrNoCapacity = errors.New(noCapacityMessage)

// StatusError is an answer of the cloud with another status than 200.
type StatusError struct {
	Code    int
	Message string // the cloud's own; may be empty
}

func (e *StatusError) Error() string { return fmt.Sprintf("cloud: status %d %s", e.Code, e.Message) }

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states that the cloud names.
const (
	StateBooting MachineState = "booting"
	StateRunning MachineState = "running"
	StateFailed  MachineState = "failed"
)

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	ID    string
	Addr  string // where its worker listens, host:port
	Type  string
	Zone  string
	Spot  bool
	State MachineState
	AgeS  float64 // seconds since it was provisioned
}

// ProvisionRequest asks for Count machines of one pool. Its name identifies it: the cloud
// carries out a request once, however often it is sent, so that a name must never be used for
// another request.
type ProvisionRequest struct {
	Name string
	autoscaler.MachinePool
	Count int
}

// Client is a client of the cloud. It may be used by several goroutines at a time.
type Client struct {
	baseURL        string
	http           *http.Client
	timeout        time.Duration // of one request, with the wait for its turn
	limiter        *rate.Limiter
	releaseLimiter *rate.Limiter // a release waits for no other kind of request
}

// releaseShare is the part of the rate of requests that is kept for releases.
const releaseShare = 0.25

// NewClient makes a client of the cloud at a host:port that sends at most requestsPerS
// requests a second. Each call, with its wait for a turn, takes timeout at most.
func NewClient(addr string, transport http.RoundTripper, timeout time.Duration, requestsPerS float64) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		timeout:        timeout,
		limiter:        newLimiter(requestsPerS * (1 - releaseShare)),
		releaseLimiter: newLimiter(requestsPerS * releaseShare),
		http:           &http.Client{Transport: transport},
	}
}

// newLimiter allows as many requests at once as come due in a second, and one at least.
func newLimiter(requestsPerS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(requestsPerS), max(1, int(requestsPerS)))
}

// Catalog returns the machine types with their current prices; it is an error if there are
// none.
func (c *Client) Catalog(ctx context.Context) ([]jobs.MachineType, error) {
	var catalog wireCatalog
	if err := c.call(ctx, c.limiter, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, err
	}
	if len(catalog.Types) == 0 {
		return nil, errors.New("cloud: empty catalog")
	}
	return catalog.Types, nil
}

// Provision asks for machines and returns their names, which may be fewer than were asked
// for. After any error but ErrNoCapacity the outcome is unknown, and the same request must be
// sent again.
func (c *Client) Provision(ctx context.Context, request ProvisionRequest) ([]string, error) {
	var provisioned wireProvisioned
	err := c.call(ctx, c.limiter, http.MethodPost, "/rentals", encodeProvisionRequest(request), &provisioned)
	return provisioned.Machines, err
}

// Release gives up to MaxMachinesPerRelease machines back. Without an error they, and all that
// ran on them, are gone.
func (c *Client) Release(ctx context.Context, ids []string) error {
	return c.call(ctx, c.releaseLimiter, http.MethodPost, "/rentals/release", wireReleaseRequest{Machines: ids}, nil)
}

// ListMachines returns the cloud's machines as they were some time ago, and how many requests
// that took, also if one of them failed.
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

// call waits for its turn, sends a request with a body as JSON, if there is one, and decodes
// the answer into result, if that is wanted. Any status but 200 is an error: ErrNoCapacity or
// a *StatusError.
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
		return errorOf(response.StatusCode, raw)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(raw, result)
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

// errorOf is the error that an answer stands for. A body that is no JSON leaves only the
// status to tell by.
func errorOf(status int, body []byte) error {
	var answer wireError
	_ = json.Unmarshal(body, &answer)
	if status == http.StatusServiceUnavailable && answer.Error == noCapacityMessage {
		return ErrNoCapacity
	}
	return &StatusError{Code: status, Message: answer.Error}
}
