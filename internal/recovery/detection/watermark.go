package detection

import "sync"

// Watermark is the highest value seen of a number that only grows, such as the revision of
// the state service or the fencing token. Requests for such a number may overlap, and their
// answers come in any order, so each answer is judged by what was known when its request was
// sent: its Baseline. A number below its baseline proves that the store was rolled back. The
// zero value has seen nothing. It may be used by several goroutines.
type Watermark struct {
	mu     sync.Mutex
	value  uint64
	resets uint64 // how often the number was found to have gone back
}

// Baseline is what was known when a number was asked for.
type Baseline struct {
	known  uint64
	resets uint64
}

// Value returns the highest number known.
func (w *Watermark) Value() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.value
}

// Baseline has to be taken before a number is asked for.
func (w *Watermark) Baseline() Baseline {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Baseline{known: w.value, resets: w.resets}
}

// Observe takes in a number that was read no earlier than its baseline was taken. If it is
// below the baseline, Observe returns evidence of that kind and key and true, and the
// watermark falls to the number: later ones are compared with that. The same loss is told of
// once, however many requests were on their way.
func (w *Watermark) Observe(baseline Baseline, kind Kind, key string, found uint64) (Evidence, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case baseline.resets != w.resets:
		return Evidence{}, false // another answer has told of the loss since
	case found < baseline.known:
		known := w.value
		w.value = found
		w.resets++
		return Evidence{Kind: kind, Key: key, Known: known, Found: found}, true
	}
	w.value = max(w.value, found)
	return Evidence{}, false
}

// Advance takes in a number that may be older than its baseline, such as that of a watch or
// of a transaction: a lower one is no evidence. It returns false if the number has gone back
// since the baseline was taken: then this one may be from before.
func (w *Watermark) Advance(baseline Baseline, found uint64) (current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if baseline.resets != w.resets {
		return false
	}
	w.value = max(w.value, found)
	return true
}
