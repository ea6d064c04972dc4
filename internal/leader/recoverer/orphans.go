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

// maxOrphanReads is how many records of orphaned tasks' jobs are read at a time: after a loss
// there may be thousands.
const maxOrphanReads = 4

// orphanedTasks is the jobs of which workers have tasks and this leader knows nothing. Their
// records are read before anything is concluded.
type orphanedTasks struct {
	cfg        *Config
	knowledge  *knowledge
	reportLoss func(loss detection.Evidence, now time.Time)

	byJob         map[string]*orphanedJob
	readsInFlight int
}

// orphanedJob is one of these jobs.
type orphanedJob struct {
	reading       bool
	recordMissing bool
	readAgainAt   time.Time
}

// add takes in a worker's task of an unknown job, and has the job's record read.
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
	if !job.reading && !job.recordMissing && !now.Before(job.readAgainAt) && o.readsInFlight < maxOrphanReads {
		job.reading, job.readAgainAt = true, now.Add(o.cfg.Derived.Leader.ControlInterval)
		o.readsInFlight++
		go o.readRecord(id, job, proofOfTask(machine, index, task))
	}
}

// proofOfTask is what a worker's task proves of its job.
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

// readRecord reads a job's record, and hands the outcome to the event loop.
func (o *orphanedTasks) readRecord(id string, job *orphanedJob, proof recovery.Knowledge) {
	ctx, cancel := context.WithTimeout(context.Background(), o.cfg.Derived.Store.RequestTimeout)
	defer cancel()
	record, found, err := o.cfg.Store.Get(ctx, jobs.RecordKey(id))
	o.cfg.Post(context.Background(), func(now time.Time) {
		job.reading = false
		o.readsInFlight--
		switch {
		case err != nil:
		case found:
			o.recordFound(id, record, now)
		case !job.recordMissing:
			job.recordMissing = true
			o.cfg.Cache.NoteMissing(id)
			o.knowledge.lost.Merge(id, proof)
			o.reportLoss(detection.Evidence{Kind: detection.TaskUnknown, Key: id}, now)
		}
	})
}

// recordFound takes in the record of a job that was not known here.
func (o *orphanedTasks) recordFound(id string, record kvstore.KeyValue, now time.Time) {
	delete(o.byJob, id)
	o.cfg.Cache.Apply(record.Key, record.Value, record.Revision)
	o.cfg.Leader.JobChanged(kvstore.Change{Set: record.Key, Value: record.Value, Revision: record.Revision}, now)
}

// LeaveAlone tells whether a task that no assignment accounts for must be neither stopped nor
// cleared, since its job, or its assignment, may have been lost. What the task proves is taken
// in.
func (r *Recoverer) LeaveAlone(machine *cluster.Machine, task *workers.TaskStatus) bool {
	id, index, ok := workers.SplitTask(task.Name)
	if !ok || !jobs.ValidID(id) {
		return false // no task of ours
	}
	if job := r.cfg.State.Jobs[id]; job != nil {
		return r.adoption.jobs[job] && !job.IsOver() && job.Adoption.GangParts[index].Machine == machine
	}
	if known, found := r.cfg.Cache.Known(id); found && known.Finished() {
		return false
	}
	if !r.held.contains(id) {
		r.orphans.add(id, machine.ID, index, task)
	} else if r.held.addTask(id, machine.ID, index, task) {
		r.writeBack.enqueue(id)
	}
	return true
}

// MayHaveUnknownTasks tells whether a machine may have tasks that no assignment accounts for: it
// is not released as idle, or as one that never came up.
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
