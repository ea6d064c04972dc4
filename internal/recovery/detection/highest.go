package detection

import "sync"

// Highest is the highest of numbers that only grow, such as revisions and tokens. Requests
// for such a number may overlap, and their answers come in any order: an answer is judged
// by what was known when its request was sent. It may be used by several goroutines.
type Highest struct {
	mu     sync.Mutex
	value  uint64
	resets uint64 // how often the numbers were found to have gone back
}

// Request is what was known when a number was asked for.
type Request struct {
	least  uint64
	resets uint64
}

// Value returns the highest number known.
func (h *Highest) Value() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.value
}

// Ask has to be called before a number is asked for.
func (h *Highest) Ask() Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Request{least: h.value, resets: h.resets}
}

// See takes in a number that is no older than its request. It tells of one that is below
// what was known when the request was sent, and goes on from there.
func (h *Highest) See(asked Request, kind Kind, key string, found uint64) (Loss, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case asked.resets != h.resets:
		return Loss{}, false // another answer has told since
	case found < asked.least:
		known := h.value
		h.value = found
		h.resets++
		return Loss{Kind: kind, Key: key, Known: known, Found: found}, true
	}
	h.value = max(h.value, found)
	return Loss{}, false
}

// Raise takes in a number that may be older than its request, such as that of a watch or of
// a transaction: it tells of nothing if it is lower. It returns false if the numbers have
// gone back since the request: then this one may be from before.
func (h *Highest) Raise(asked Request, found uint64) (current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if asked.resets != h.resets {
		return false
	}
	h.value = max(h.value, found)
	return true
}
