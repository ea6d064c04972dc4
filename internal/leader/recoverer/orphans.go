package recoverer

import (
	"context"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/workers"
)

// maxOrphanReads bounds the concurrent reads of the records of orphaned tasks' jobs. After a loss
// there may be thousands of these jobs.
const maxOrphanReads = 4

// orphanedTasks tracks jobs that are unknown to this leader although workers report tasks of
// them. Nothing is concluded about such a job before its record has been read.
type orphanedTasks struct {
	cfg        *Config
	knowledge  *knowledge
	reportLoss func(loss detection.Evidence, now time.Time)

	byJob         map[string]*orphanedJob
	readsInFlight int
}

// orphanedJob is an unknown job with tasks on workers.
type orphanedJob struct {
	readInFlight  bool
	recordMissing bool
	nextReadAt    time.Time
}

// add records a worker's task of an unknown job, and starts reading the job's record if a read is
// due and fewer than maxOrphanReads are in flight.
func (o *orphanedTasks) add(id, machine string, index int, task *workers.TaskStatus) {
	job := o.byJob[id]
	if job == nil {
		job = &orphanedJob{}
		o.byJob[id] = job
	}
	if job.recordMissing {
		o.knowledge.lost.Merge(id, proofOfTask(machine, index, task))
	}
	now := time.Now()
	if !job.readInFlight && !job.recordMissing && !now.Before(job.nextReadAt) && o.readsInFlight < maxOrphanReads {
		job.readInFlight, job.nextReadAt = true, now.Add(o.cfg.Derived.Leader.ControlInterval)
		o.readsInFlight++
		go o.readRecord(id, job, proofOfTask(machine, index, task))
	}
}

// proofOfTask returns what a worker's task proves about its job.
func proofOfTask(machine string, index int, task *workers.TaskStatus) recovery.Knowledge {
	proof := recovery.Knowledge{MinTasks: index + 1}
	switch {
	case task.State != workers.StateEnded:
		proof.RunningTasks = []int{index}
	case task.Cause == workers.CauseDone:
		proof.CompletedTasks = []int{index}
	}
	return recovery.Attribute(recovery.FromWorker(machine), proof)
}

// readRecord reads a job's record and posts the result to the event loop. It does not run on the
// event loop.
func (o *orphanedTasks) readRecord(id string, job *orphanedJob, proof recovery.Knowledge) {
	ctx, cancel := context.WithTimeout(context.Background(), o.cfg.Derived.Store.RequestTimeout)
	defer cancel()
	record, found, err := o.cfg.Store.Get(ctx, jobs.RecordKey(id))
	o.cfg.Post(context.Background(), func(now time.Time) {
		job.readInFlight = false
		o.readsInFlight--
		switch {
		case err != nil:
		case found:
			o.recordFound(id, record, now)
		case !job.recordMissing:
			job.recordMissing = true
			o.cfg.Cache.MarkMissing(id)
			o.knowledge.lost.Merge(id, proof)
			o.reportLoss(detection.Evidence{Kind: detection.TaskUnknown, Key: id}, now)
		}
	})
}

// recordFound applies the record of a job that this leader did not know. The job is orphaned until
// then, so that its tasks are adopted, and not placed elsewhere.
func (o *orphanedTasks) recordFound(id string, record kvstore.KeyValue, now time.Time) {
	o.cfg.Cache.Apply(record.Key, record.Value, record.Revision)
	o.cfg.Leader.JobChanged(kvstore.Change{Set: record.Key, Value: record.Value, Revision: record.Revision}, now)
	delete(o.byJob, id)
}

// MustKeepOrphan reports whether a task without an assignment must be neither stopped nor cleared,
// because its job or its assignment may have been lost. It also records what the task proves
// about its job.
func (r *Recoverer) MustKeepOrphan(machine *cluster.Machine, task *workers.TaskStatus) bool {
	id, index, ok := workers.SplitTask(task.Name)
	if !ok || !jobs.ValidID(id) {
		return false // not a task of this scheduler
	}
	if job := r.cfg.State.Jobs[id]; job != nil {
		return r.adoption.jobs[job] && !job.IsFinished() && job.Adoption.ReportedGangTasks[index].Machine == machine
	}
	if known, found := r.cfg.Cache.Known(id); found && known.Finished() {
		return false
	}
	if !r.held.contains(id) {
		r.orphans.add(id, machine.ID, index, task)
	} else if r.held.addTaskProof(id, machine.ID, index, task) {
		r.writeBack.enqueue(id)
	}
	return true
}

// MayHaveUnknownTasks reports whether a machine may have tasks without an assignment. Such a
// machine must not be released as idle or as one that never came up.
func (r *Recoverer) MayHaveUnknownTasks(machine *cluster.Machine) bool {
	if r.phase == Comparing || len(r.adoption.jobs) > 0 {
		return true
	}
	if len(r.held.byID)+len(r.orphans.byJob) == 0 {
		return false
	}
	if machine.Worker.HeartbeatAt.IsZero() && time.Since(r.cfg.Term.Since) < r.cfg.Derived.Workers.LeaseExpiry {
		return true // it may have tasks of held jobs, which the log does not name
	}
	for _, task := range machine.Worker.Tasks {
		if id, _, ok := workers.SplitTask(task.Name); ok && (r.held.contains(id) || r.orphans.byJob[id] != nil) {
			return true
		}
	}
	return false
}
