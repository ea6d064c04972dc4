package detection

// TokenOfAttempt returns the fencing token from which an attempt number was made: the number
// without its lowest attemptBits bits.
func TokenOfAttempt(attempt uint64, attemptBits int) uint64 { return attempt >> attemptBits }

// maxTokenLead is the maximum by which a fencing token reported by a worker may exceed the
// leader's own. No deployment raises its token that often, so a token beyond the limit is garbage.
const maxTokenLead = 1 << 32

// PlausibleToken reports whether a fencing token reported by a worker may have been issued by this
// deployment, whose leader has leaderToken.
func PlausibleToken(reported, leaderToken uint64) bool {
	return reported-min(reported, leaderToken) < maxTokenLead
}
