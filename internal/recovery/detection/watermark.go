package detection

import "sync"

// Watermark tracks the highest observed value of a number that only grows, such as the store's
// revision or the fencing token. Reads of the number may overlap, and their responses may arrive
// in any order. Each response is therefore compared with the Baseline taken before its request was
// sent. A number below its baseline proves that the store was rolled back. The zero value has
// observed nothing. A Watermark is safe for concurrent use.
type Watermark struct {
	mu     sync.Mutex
	value  uint64
	resets uint64 // number of rollbacks found
}

// Baseline is the state of a Watermark when a read of the number started.
type Baseline struct {
	known  uint64
	resets uint64
}

// Value returns the highest observed value since the last rollback was found.
func (w *Watermark) Value() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.value
}

// Baseline returns the current state. Take it before the read of the number is sent.
func (w *Watermark) Baseline() Baseline {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Baseline{known: w.value, resets: w.resets}
}

// Observe records a number that was read after its baseline was taken. If the number is below the
// baseline, Observe returns true and evidence of the given kind and key, and lowers the watermark
// to the number; later numbers are compared with that. A loss is reported only once, even if
// several reads were in flight.
func (w *Watermark) Observe(baseline Baseline, kind Kind, key string, found uint64) (Evidence, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case baseline.resets != w.resets:
		return Evidence{}, false // another response has reported the loss since
	case found < baseline.known:
		known := w.value
		w.value = found
		w.resets++
		return Evidence{Kind: kind, Key: key, Known: known, Found: found}, true
	}
	w.value = max(w.value, found)
	return Evidence{}, false
}

// Advance records a number that may be older than its baseline, such as the revision of a watch
// event or a transaction. A lower number is no evidence. Advance returns false, and ignores the
// number, if a rollback was found since the baseline was taken, because the number may precede the
// rollback.
func (w *Watermark) Advance(baseline Baseline, found uint64) (current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if baseline.resets != w.resets {
		return false
	}
	w.value = max(w.value, found)
	return true
}
