package peer

import (
	"context"
	"sync"
)

// pendingResponses matches responses with the requests that still wait for one. Its zero
// value is ready to use.
type pendingResponses[Response any] struct {
	mu       sync.Mutex
	byNumber map[uint64]chan<- Response
}

// expect has the response to a request sent to a channel, which must have room for it. The
// returned function gives the request up.
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

// deliver hands a response to who waits for it. One that comes too late, or twice, is dropped.
func (p *pendingResponses[Response]) deliver(number uint64, response Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting := p.byNumber[number]; waiting != nil {
		delete(p.byNumber, number)
		waiting <- response
	}
}

// RequestLeaseGrants asks every other controller for a lease grant and joins the responses: the
// grant counts only if each of them grants it before the context ends.
func (h *Hub) RequestLeaseGrants(ctx context.Context, request LeaseGrantRequest) LeaseGrantResponse {
	responses := make(chan LeaseGrantResponse, len(h.links))
	for _, link := range h.links {
		number := h.requestNumber.Add(1)
		defer h.leaseGrantResponses.expect(number, responses)()
		if !link.enqueue(encodeLeaseGrantRequest(h.node, leaseGrantRequest{number, request})) {
			return LeaseGrantResponse{} // a queue that is stuck will bring no response in time
		}
	}
	joined := LeaseGrantResponse{Granted: true, CancellationsComplete: true}
	for range h.links {
		select {
		case response := <-responses:
			if !response.Granted {
				return LeaseGrantResponse{}
			}
			joined.CancellationsComplete = joined.CancellationsComplete && response.CancellationsComplete
			joined.Cancellations = append(joined.Cancellations, response.Cancellations...)
		case <-ctx.Done():
			return LeaseGrantResponse{}
		}
	}
	return joined
}

// RequestLostJobs asks the named controller for jobs of which it knows more than the records
// say. It fails with an UnknownPeerError, or with ErrNoResponse if none comes before the
// context ends.
func (h *Hub) RequestLostJobs(ctx context.Context, node string, request LostJobsRequest) (LostJobsResponse, error) {
	link := h.links[node]
	if link == nil {
		return LostJobsResponse{}, &UnknownPeerError{node}
	}
	responses := make(chan LostJobsResponse, 1)
	number := h.requestNumber.Add(1)
	defer h.lostJobResponses.expect(number, responses)()
	if !link.enqueue(encodeLostJobsRequest(h.node, lostJobsRequest{number, request})) {
		return LostJobsResponse{}, ErrNoResponse
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return LostJobsResponse{}, ErrNoResponse
	}
}

// deliverResponse hands a response to who waits for it. Nothing else may come on a
// connection that this controller opened.
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
