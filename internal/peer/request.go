package peer

import (
	"context"
	"sync"
)

// pendingResponses matches responses with the requests that wait for them. Its zero value is ready to
// use.
type pendingResponses[Response any] struct {
	mu       sync.Mutex
	byNumber map[uint64]chan<- Response
}

// expect registers a channel for the response to a request. The channel needs buffer space for the
// response, as deliver sends while it holds the mutex. cancel removes the registration.
func (p *pendingResponses[Response]) expect(number uint64, response chan<- Response) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byNumber == nil {
		p.byNumber = make(map[uint64]chan<- Response)
	}
	p.byNumber[number] = response
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.byNumber, number)
	}
}

// deliver sends a response to the channel registered for it. It drops a late or duplicate response.
func (p *pendingResponses[Response]) deliver(number uint64, response Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if receiver := p.byNumber[number]; receiver != nil {
		delete(p.byNumber, number)
		receiver <- response
	}
}

// RequestLeaseGrants requests a lease grant from every other controller and combines the responses.
// The result is granted only if every controller grants it before ctx is done.
func (h *Hub) RequestLeaseGrants(ctx context.Context, request LeaseGrantRequest) LeaseGrantResponse {
	responses := make(chan LeaseGrantResponse, len(h.links))
	for _, link := range h.links {
		number := h.requestNumber.Add(1)
		defer h.leaseGrantResponses.expect(number, responses)()
		if !link.enqueue(encodeLeaseGrantRequest(h.name, leaseGrantRequest{number, request})) {
			return LeaseGrantResponse{} // a full queue means that no response can arrive in time
		}
	}
	combined := LeaseGrantResponse{Granted: true, CancellationsComplete: true}
	for range h.links {
		select {
		case response := <-responses:
			if !response.Granted {
				return LeaseGrantResponse{}
			}
			combined.CancellationsComplete = combined.CancellationsComplete && response.CancellationsComplete
			combined.Cancellations = append(combined.Cancellations, response.Cancellations...)
		case <-ctx.Done():
			return LeaseGrantResponse{}
		}
	}
	return combined
}

// RequestLostJobs asks the named controller for the jobs about which it knows more than their records
// contain. It returns an *UnknownPeerError if there is no such controller, and ErrNoResponse if no
// response arrives before ctx is done.
func (h *Hub) RequestLostJobs(ctx context.Context, name string, request LostJobsRequest) (LostJobsResponse, error) {
	link := h.links[name]
	if link == nil {
		return LostJobsResponse{}, &UnknownPeerError{name}
	}
	responses := make(chan LostJobsResponse, 1)
	number := h.requestNumber.Add(1)
	defer h.lostJobResponses.expect(number, responses)()
	if !link.enqueue(encodeLostJobsRequest(h.name, lostJobsRequest{number, request})) {
		return LostJobsResponse{}, ErrNoResponse
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return LostJobsResponse{}, ErrNoResponse
	}
}

// deliverResponse delivers a response to the request that waits for it. Any other message is an error
// on a connection that this controller opened.
func (h *Hub) deliverResponse(received message) error {
	switch {
	case received.leaseGrantResponse != nil:
		h.leaseGrantResponses.deliver(received.leaseGrantResponse.number, received.leaseGrantResponse.LeaseGrantResponse)
	case received.lostJobsResponse != nil:
		h.lostJobResponses.deliver(received.lostJobsResponse.number, received.lostJobsResponse.LostJobsResponse)
	default:
		return errUnexpectedResponse
	}
	return nil
}
