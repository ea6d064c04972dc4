package controller

import (
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// recoveryFollower keeps the cache informed of a recovery that another controller leads.
type recoveryFollower struct {
	derived settings.Derived
	cache   *jobcache.Cache

	comparing atomic.Bool // the leader says that records are being compared
	restoring atomic.Bool // the leader says that lost records are being written again
}

// follow takes in whether the leader is comparing records, or writing lost ones again. Until
// they are written, this controller may not know of a job, or know less than others.
func (f *recoveryFollower) follow(update peer.LeaderUpdate) {
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
