package model

// Guard is a rule that an exploration can leave out, to show what it is for.
type Guard string

// The guards.
const (
	NoGuard                Guard = ""
	WaitAfterRestart       Guard = "a restarted node waits out what its earlier incarnation may have granted"
	GrantForbidsCampaigns  Guard = "a grant forbids campaigns"
	PendingCampaignRefuses Guard = "no grant while a campaign of one's own may succeed"
	SucceededGetsNoGrant   Guard = "no grant to a leader that has been succeeded"
	GrantsNeedValidity     Guard = "grants count only for a leader whose lease is valid"
	DriftIsDeducted        Guard = "a leader counts less than the lease duration"
	AllPeersGrant          Guard = "all peers have to grant"
	LeaderGrantsNone       Guard = "a leader grants nothing"
	CountFromSending       Guard = "a leader counts from when it sent its request"
	AllPeersRelyOnNone     Guard = "all peers answer that they rely on no grant"
	InvalidStillRelies     Guard = "a leader whose lease is not valid at the moment still relies on grants"
)

// Guards lists all of them.
var Guards = []Guard{
	WaitAfterRestart, GrantForbidsCampaigns, PendingCampaignRefuses, SucceededGetsNoGrant, GrantsNeedValidity, DriftIsDeducted,
	AllPeersGrant, LeaderGrantsNone, CountFromSending, AllPeersRelyOnNone, InvalidStillRelies,
}
