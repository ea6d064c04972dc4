package detection

import "sync"

// Watermark is the highest of numbers that only grow, such as revisions and tokens. Requests
// for such a number may overlap, and their answers come in any order: an answer is judged
// by what was known when its request was sent. It may be used by several goroutines.
type Watermark struct {
	mu     sync.Mutex
	value  uint64
	resets uint64 // how often the numbers were found to have gone back
}

// Baseline is what was known when a number was asked for.
type Baseline struct {
	known  uint64
	resets uint64
}

// Value returns the highest number known.
func (h *Watermark) Value() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.value
}

// Baseline has to be called before a number is asked for.
func (h *Watermark) Baseline() Baseline {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Baseline{known: h.value, resets: h.resets}
}

// Observe takes in a number that is no older than its request. It tells of one that is below
// what was known when the request was sent, and goes on from there.
func (h *Watermark) Observe(asked Baseline, kind Kind, key string, found uint64) (Evidence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case asked.resets != h.resets:
		return Evidence{}, false // another answer has told since
	case found < asked.known:
		known := h.value
		h.value = found
		h.resets++
		return Evidence{Kind: kind, Key: key, Known: known, Found: found}, true
	}
	h.value = max(h.value, found)
	return Evidence{}, false
}

// Advance takes in a number that may be older than its request, such as that of a watch or of
// a transaction: it tells of nothing if it is lower. It returns false if the numbers have
// gone back since the request: then this one may be from before.
func (h *Watermark) Advance(asked Baseline, found uint64) (current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if asked.resets != h.resets {
		return false
	}
	h.value = max(h.value, found)
	return true
}
