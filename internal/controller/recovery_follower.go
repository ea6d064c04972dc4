package controller

import (
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// recoveryFollower updates the cache with the progress of a recovery on another controller.
type recoveryFollower struct {
	derived settings.Derived
	cache   *jobcache.Cache

	comparing atomic.Bool // the leader reports that it is comparing records
	restoring atomic.Bool // the leader reports that it is writing lost records back
}

// applyUpdate applies the recovery state of a leader's update. Until the leader has compared the
// records and written the lost ones back, this controller may not know of a job or may know less
// of it than other controllers.
func (f *recoveryFollower) applyUpdate(update peer.LeaderUpdate) {
	f.cache.Readiness.SetRolledBack(update.RecordsRolledBack)
	compared := f.comparing.Swap(update.ComparingRecords) && !update.ComparingRecords
	restored := f.restoring.Swap(update.RestoringRecords) && !update.RestoringRecords
	if compared || restored || !update.ComparingRecords && !f.cache.Readiness.ReadAllBeforeLoss() {
		f.cache.Readiness.MarkCompared()
	}
	if update.ComparingRecords || update.RestoringRecords {
		f.cache.Readiness.SuspectLossUntil(time.Now().Add(f.derived.Workers.CancelDeadline))
	}
}
