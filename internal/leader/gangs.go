package leader

import (
	"log/slog"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// gangAttempt is a gang's present one. Its tasks are the job's assignments: the next
// begins only when the last of these is forgotten.
type gangAttempt struct {
	number   uint64 // by which the tasks find each other; 0 without an attempt
	here     int    // tasks that are, or may be, on their machines
	written  int    // of which the beginnings are durable
	stopping bool
}

func (j *job) isGang() bool { return j.spec.Shape == jobs.Gang }

// verdict is what becomes of the gang's present attempt.
func (j *job) verdict() gang.Decision {
	return gang.Decide(gang.Attempt{Size: j.spec.Tasks, Placed: j.gang.here, Durable: j.gang.written, Stopping: j.gang.stopping})
}

// joined takes in a task of a gang.
func (j *job) joined(a *assignment) {
	j.gang.number = a.gang
	j.gang.here++
	if a.durable {
		j.gang.written++
	}
}

// mayRun tells whether a task may be sent to its machine: a task of a gang only
// together with all others. Were a leader to end after half of them, the rest would
// hold room until they gave up.
func (a *assignment) mayRun() bool { return !a.job.isGang() || a.job.verdict() == gang.Run }

// gangWritten notes that the beginning of a task of a gang is durable. The last one
// lets all of them go.
func (l *Leader) gangWritten(j *job) {
	if j.gang.written++; j.verdict() == gang.Run {
		for _, a := range j.tasks {
			l.notify(a.m)
		}
	}
}

// parted takes in that a task of a gang is off its machine. If it is not done, the
// others have to stop.
func (l *Leader) parted(j *job) {
	if j.gang.here--; !j.over() && j.verdict() == gang.Abort {
		slog.Debug("gang not whole", "job", j.id, "attempt", j.gang.number, "term", l.token, "left", j.gang.here)
		l.stopGang(j, 0)
	}
}

// stopGang has all tasks of a gang stop at once: those that are not told within the
// workers' limit of the first keep the others from saving.
func (l *Leader) stopGang(j *job, grace float64) {
	if j.gang.stopping {
		return
	}
	j.gang.stopping = true
	for _, a := range j.tasks {
		if a.outcome == open && !a.stop {
			a.stop, a.grace = true, grace
			l.dropUnsent(a)
		}
	}
	l.replan = true
}

// stopWithGang stops a task, and with it the gang that it is one of.
func (l *Leader) stopWithGang(a *assignment, grace float64) {
	if a.job.isGang() {
		l.stopGang(a.job, grace)
		return
	}
	l.stop(a, grace)
}

// ref is what a worker knows a task by. The tasks of a gang share their attempt, so
// that it names none of them alone.
type ref struct {
	task    string
	attempt uint64
}

func refOf(t *workers.Task) ref { return ref{t.Task, t.Attempt} }

// onWire is the attempt by which workers know it.
func (a *assignment) onWire() uint64 {
	if a.gang != 0 {
		return a.gang
	}
	return a.attempt
}

func (a *assignment) ref() ref { return ref{a.name(), a.onWire()} }

// find returns the assignment that a worker's task belongs to.
func (m *machine) find(r ref) *assignment {
	if a := m.assigned[r.attempt]; a != nil {
		if a.gang == 0 && a.name() == r.task {
			return a
		}
		return nil
	}
	for _, a := range m.assigned {
		if a.gang == r.attempt && a.gang != 0 && a.name() == r.task {
			return a
		}
	}
	return nil
}
