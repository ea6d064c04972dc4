package model

// Guard is a rule of the election that an exploration can omit, to show that the election is
// unsafe without it.
type Guard string

// The guards.
const (
	NoGuard                Guard = ""
	WaitAfterRestart       Guard = "a restarted controller waits for the end of leases that its earlier incarnation may have granted"
	GrantForbidsCampaigns  Guard = "a granted lease forbids campaigns"
	PendingCampaignRefuses Guard = "no lease is granted while the grantor's own campaign may succeed"
	SucceededGetsNoGrant   Guard = "no lease is granted to a leader that has been succeeded"
	GrantsNeedValidity     Guard = "grants extend the term only of a leader whose lease is still valid"
	DriftIsDeducted        Guard = "a leader relies on a lease for less than its duration"
	AllPeersGrant          Guard = "all peers must grant a lease"
	LeaderGrantsNone       Guard = "a leader grants no lease"
	CountFromSending       Guard = "the validity counts from when the leader sent its request"
	AllPeersRelyOnNone     Guard = "all peers must answer that they rely on no grant"
	InvalidStillRelies     Guard = "a leader whose lease is temporarily not valid still relies on grants"
)

// Guards lists all guards.
var Guards = []Guard{
	WaitAfterRestart, GrantForbidsCampaigns, PendingCampaignRefuses, SucceededGetsNoGrant, GrantsNeedValidity, DriftIsDeducted,
	AllPeersGrant, LeaderGrantsNone, CountFromSending, AllPeersRelyOnNone, InvalidStillRelies,
}
