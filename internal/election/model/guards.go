package model

// Guard is a rule that can be left out, to show what it is for.
type Guard string

// The guards.
const (
	NoGuard              Guard = ""
	WaitAfterRestart     Guard = "a restarted node waits out what its earlier life may have promised"
	PromiseForbids       Guard = "a promise forbids campaigns"
	OpenCampaignRefuses  Guard = "no promise while a campaign of one's own may succeed"
	SucceededGetsNone    Guard = "no promise to a holder that has been succeeded"
	CoveredWhenPromised  Guard = "promises count only for a holder that is covered"
	DriftIsTakenOff      Guard = "a holder counts less than the lease"
	AllOthersPromise     Guard = "all others have to promise"
	HolderGivesNone      Guard = "a holder promises nothing"
	CountFromSending     Guard = "a holder counts from when it sent its request"
	AllAnswerIdle        Guard = "all others answer that they rely on no promise"
	UncoveredStillRelies Guard = "a holder that is not covered at the moment still relies on promises"
)

// Guards lists all of them.
var Guards = []Guard{
	WaitAfterRestart, PromiseForbids, OpenCampaignRefuses, SucceededGetsNone, CoveredWhenPromised, DriftIsTakenOff,
	AllOthersPromise, HolderGivesNone, CountFromSending, AllAnswerIdle, UncoveredStillRelies,
}
