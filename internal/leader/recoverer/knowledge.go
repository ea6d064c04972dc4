package recoverer

import (
	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
)

// knowledge is what the sources have said of lost jobs.
type knowledge struct {
	cfg  *Config
	held *heldJobs
	lost recovery.KnowledgeByJob // jobs of which more is known than the records say
}

// isOverInCache tells whether a lost job is over, as this node's cache has it, and this leader
// has nothing else to do with it.
func (k *knowledge) isOverInCache(lost jobcache.LostJob) bool {
	over := lost.State == jobs.Done || lost.State == jobs.Cancelled
	return over && k.cfg.State.Jobs[lost.ID] == nil && !k.held.contains(lost.ID)
}

// needsNoComparison tells whether nothing needs to be known of a lost job but that it is over, as
// this node's cache has it. There may be hundreds of thousands of those: they are written back
// from the cache page by page (see writeBack.queueOverJobs) and not kept here.
func (k *knowledge) needsNoComparison(lost jobcache.LostJob) bool {
	return lost.RecordedState == "" && k.isOverInCache(lost)
}

// agreesWithCache tells whether a peer says no more of a job than this node's cache, which has
// it as over.
func (k *knowledge) agreesWithCache(job peer.LostJob) bool {
	known, _ := k.cfg.Cache.Known(job.ID)
	_, open := k.lost[job.ID]
	return !open && known.Finished() && known.State == job.State && k.cfg.State.Jobs[job.ID] == nil
}

// addLeadersView takes in what this leader itself has observed of a lost job.
func (k *knowledge) addLeadersView(id string) {
	job := k.cfg.State.Jobs[id]
	if job == nil {
		return
	}
	said := recovery.Knowledge{
		Done: job.End.CompletionDurable, Cancelled: job.End.Cancelled, Unfinished: !job.IsOver(),
		Spec: job.Spec, AcceptedMs: job.AcceptedMs,
	}
	if job.End.Complete && !job.End.CompletionDurable {
		for n := range job.Spec.Tasks { // its end is not written: until then it may be cancelled
			said.CompletedTasks = append(said.CompletedTasks, n)
		}
	}
	if job.End.Recorded != "" {
		said = recovery.Knowledge{Done: job.End.Recorded == jobs.Done, Cancelled: job.End.Recorded == jobs.Cancelled}
	}
	k.lost.Merge(id, recovery.Attribute(recovery.FromLeader, said))
}

// addCached takes in what a controller's cache says of a lost job, and the record of it that
// the controller has; nil if it has none.
func (k *knowledge) addCached(id string, from recovery.Source, state string, tasks int, record *jobs.Record) {
	said := recovery.Knowledge{Tasks: tasks}
	switch state {
	case jobs.Done:
		said.Done = true
	case jobs.Cancelled:
		said.Cancelled = true
	case jobs.Queued:
		said.Unfinished = true
	}
	if record != nil {
		said.Spec, said.AcceptedMs = record.Spec, record.AcceptedAtMs
	}
	k.lost.Merge(id, recovery.Attribute(from, said))
	// Whatever else is not certain yet: what is over stops at once.
	switch job := k.cfg.State.Jobs[id]; {
	case job == nil || job.IsOver():
	case said.Cancelled:
		k.cfg.Leader.CancelJob(job, job.Revision)
	case said.Done:
		k.cfg.Leader.CompleteElsewhere(job)
	}
}

// refreshed returns what is known of a job that is to be written, with what this node's cache
// has learnt of it by now.
func (k *knowledge) refreshed(id string) (known recovery.Knowledge, found bool) {
	if cached, inCache := k.cfg.Cache.Known(id); inCache && cached.Finished() {
		k.addCached(id, recovery.FromCache(k.cfg.Node), cached.State, cached.Tasks, nil)
	}
	if job := k.held.byID[id]; job != nil {
		return job.known.Join(k.lost[id]), true
	}
	known, found = k.lost[id]
	return known, found
}

// isInRecord tells whether a job's record is there again and says as much as is known: its user
// may have cancelled it, or submitted it again, meanwhile.
func (k *knowledge) isInRecord(id string, known recovery.Knowledge) bool {
	cached, _ := k.cfg.Cache.Known(id)
	return !k.held.contains(id) && k.cfg.Cache.RecordRevision(id) != 0 && !k.cfg.Cache.IsLost(id) && cached.State == recovery.Decide(known, true).State
}

// stateForUsers is the state of a lost job that users may be told. An end that is concluded from
// its tasks is none before it is written, as the job may be cancelled until then.
func stateForUsers(known recovery.Knowledge) string {
	switch decision := recovery.Decide(known, true); decision.Rule {
	case recovery.RuleDone, recovery.RuleCancelled, recovery.RuleContradiction:
		return decision.State
	}
	return jobs.Queued
}

// decodeRecord reads a record that a controller or a snapshot has; nil if there is none.
func decodeRecord(raw []byte) *jobs.Record {
	var record jobs.Record
	if len(raw) == 0 || jsonv2.Unmarshal(raw, &record) != nil {
		return nil
	}
	return &record
}
