package detection

// TokenOfAttempt returns the fencing token from which an attempt's number was made: the
// number without its lowest attemptBits bits.
func TokenOfAttempt(attempt uint64, attemptBits int) uint64 { return attempt >> attemptBits }

// maxTokenLead bounds how far a fencing token that a worker shows may be ahead of the
// leader's own: no fleet raises its token so often. What is beyond it is garbage.
const maxTokenLead = 1 << 32

// PlausibleToken tells whether a fencing token that a worker shows may have been given out
// by this deployment, whose leader has own.
func PlausibleToken(shown, own uint64) bool { return shown-min(shown, own) < maxTokenLead }
