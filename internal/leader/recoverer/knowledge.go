package recoverer

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/wirejson"
)

// knowledge collects what all sources know about lost jobs.
type knowledge struct {
	cfg  *Config
	held *heldJobs
	lost recovery.KnowledgeByJob // jobs about which more is known than the records say
}

// isFinishedInCache reports whether a lost job is finished according to this controller's cache, and
// this leader neither works on it nor holds it.
func (k *knowledge) isFinishedInCache(lost jobcache.LostJob) bool {
	isFinished := lost.State == jobs.Done || lost.State == jobs.Cancelled
	return isFinished && k.cfg.State.Jobs[lost.ID] == nil && !k.held.contains(lost.ID)
}

// needsNoComparison reports whether a lost job has no record and is finished according to this
// controller's cache, so that nothing else needs to be known about it. There may be hundreds of
// thousands of such jobs. They are not kept here but written back from the cache page by page; see
// writeBack.queueFinishedJobs.
func (k *knowledge) needsNoComparison(lost jobcache.LostJob) bool {
	return lost.RecordedState == "" && k.isFinishedInCache(lost)
}

// agreesWithCache reports whether a peer's entry for a job adds nothing: the job is finished in the
// same state in this controller's cache, nothing else is known about it, and this leader does not
// work on it.
func (k *knowledge) agreesWithCache(job peer.LostJob) bool {
	known, _ := k.cfg.Cache.Known(job.ID)
	_, isPending := k.lost[job.ID]
	return !isPending && known.Finished() && known.State == job.State && k.cfg.State.Jobs[job.ID] == nil
}

// addLeaderState merges what this leader itself has observed of a lost job.
func (k *knowledge) addLeaderState(id string) {
	job := k.cfg.State.Jobs[id]
	if job == nil {
		return
	}
	observed := recovery.Knowledge{
		Done: job.End.CompletionDurable, Cancelled: job.End.Cancelled, Unfinished: !job.IsFinished(),
		Spec: job.Spec, AcceptedAtMs: job.AcceptedMs,
	}
	if job.End.Complete && !job.End.CompletionDurable {
		for n := range job.Spec.Tasks { // not written yet: until then the job may be cancelled
			observed.CompletedTasks = append(observed.CompletedTasks, n)
		}
	}
	if job.End.RecordedState != "" {
		observed = recovery.Knowledge{Done: job.End.RecordedState == jobs.Done, Cancelled: job.End.RecordedState == jobs.Cancelled}
	}
	k.lost.Merge(id, recovery.Attribute(recovery.FromLeader, observed))
}

// addCached merges what a controller's cache says about a lost job. The record is the one that
// the controller has, or nil if it has none.
func (k *knowledge) addCached(id string, from recovery.Source, state string, tasks int, record *jobs.Record) {
	cached := recovery.Knowledge{Tasks: tasks}
	switch state {
	case jobs.Done:
		cached.Done = true
	case jobs.Cancelled:
		cached.Cancelled = true
	case jobs.Queued:
		cached.Unfinished = true
	}
	if record != nil {
		cached.Spec, cached.AcceptedAtMs = record.Spec, record.AcceptedAtMs
	}
	k.lost.Merge(id, recovery.Attribute(from, cached))
	// A finished job is stopped at once, even if other facts about it are still uncertain.
	switch job := k.cfg.State.Jobs[id]; {
	case job == nil || job.IsFinished():
	case cached.Cancelled:
		k.cfg.Leader.CancelJob(job, job.Revision)
	case cached.Done:
		k.cfg.Leader.CompleteElsewhere(job)
	}
}

// refresh returns what is known about a job whose record is to be written, including what this
// controller's cache has learned about it since.
func (k *knowledge) refresh(id string) (known recovery.Knowledge, found bool) {
	if cached, inCache := k.cfg.Cache.Known(id); inCache && cached.Finished() {
		k.addCached(id, recovery.FromCache(k.cfg.ControllerName), cached.State, cached.Tasks, nil)
	}
	if job := k.held.byID[id]; job != nil {
		return job.known.Join(k.lost[id]), true
	}
	known, found = k.lost[id]
	return known, found
}

// isRecordCurrent reports whether a job's record exists again and says as much as is known: its
// user may have cancelled the job or submitted it again in the meantime.
func (k *knowledge) isRecordCurrent(id string, known recovery.Knowledge) bool {
	cached, _ := k.cfg.Cache.Known(id)
	return !k.held.contains(id) && k.cfg.Cache.RecordRevision(id) != 0 && !k.cfg.Cache.IsLost(id) && cached.State == recovery.Decide(known, true).State
}

// stateForUsers returns the state of a lost job that users may be told. Completion that is only
// concluded from the job's tasks does not count: until it is written, the job may be cancelled.
func stateForUsers(known recovery.Knowledge) string {
	switch decision := recovery.Decide(known, true); decision.Rule {
	case recovery.RuleDone, recovery.RuleCancelled, recovery.RuleContradiction:
		return decision.State
	}
	return jobs.Queued
}

// decodeRecord decodes a record from a controller or a snapshot. It returns nil if raw is empty or
// invalid.
func decodeRecord(raw []byte) *jobs.Record {
	var record jobs.Record
	if len(raw) == 0 || wirejson.Unmarshal(raw, &record) != nil {
		return nil
	}
	return &record
}
