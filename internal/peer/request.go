package peer

import (
	"context"
	"errors"
	"fmt"
)

// RequestPromises asks every other controller. Its answer is that of all together.
func (h *Hub) RequestPromises(ctx context.Context, token, seen uint64) PromiseResponse {
	replies := make(chan PromiseResponse, len(h.links))
	for _, l := range h.links {
		h.mu.Lock()
		h.requestNumber++
		number := h.requestNumber
		h.pendingPromises[number] = replies
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			delete(h.pendingPromises, number)
			h.mu.Unlock()
		}()
		select {
		case l.outbox <- encodePromiseRequest(h.node, promiseRequest{number, token, seen}):
		default:
			return PromiseResponse{} // a queue that is stuck will bring no answer in time
		}
	}
	all := PromiseResponse{Granted: true, CancellationsComplete: true}
	for range h.links {
		select {
		case p := <-replies:
			if !p.Granted {
				return PromiseResponse{}
			}
			all.CancellationsComplete = all.CancellationsComplete && p.CancellationsComplete
			all.Cancellations = append(all.Cancellations, p.Cancellations...)
		case <-ctx.Done():
			return PromiseResponse{}
		}
	}
	return all
}

// RequestLostJobs asks another controller for jobs of which it knows more than the state service.
func (h *Hub) RequestLostJobs(ctx context.Context, node string, q LostJobsRequest) (LostJobsResponse, error) {
	l := h.links[node]
	if l == nil {
		return LostJobsResponse{}, fmt.Errorf("unknown node %q", node)
	}
	reply := make(chan LostJobsResponse, 1)
	h.mu.Lock()
	h.requestNumber++
	number := h.requestNumber
	h.pendingLostJobs[number] = reply
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.pendingLostJobs, number)
	}()
	select {
	case l.outbox <- encodeLostJobsRequest(h.node, lostJobsRequest{number, q}):
	default:
		return LostJobsResponse{}, ErrNoResponse
	}
	select {
	case p := <-reply:
		return p, nil
	case <-ctx.Done():
		return LostJobsResponse{}, ErrNoResponse
	}
}

// deliverResponse hands the answer to a question to who asked it.
func (h *Hub) deliverResponse(m message) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case m.promiseResponse != nil:
		if reply := h.pendingPromises[m.promiseResponse.number]; reply != nil {
			delete(h.pendingPromises, m.promiseResponse.number)
			reply <- m.promiseResponse.PromiseResponse
		}
	case m.lostJobsResponse != nil:
		if reply := h.pendingLostJobs[m.lostJobsResponse.number]; reply != nil {
			delete(h.pendingLostJobs, m.lostJobsResponse.number)
			reply <- m.lostJobsResponse.LostJobsResponse
		}
	default:
		return errors.New("unexpected message")
	}
	return nil
}
