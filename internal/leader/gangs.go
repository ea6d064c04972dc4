package leader

import (
	"log/slog"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/leader/cluster"
)

// gangBeginDurable notes that the beginning of a task of a gang is durable. The last one
// lets all of them go.
func (l *Leader) gangBeginDurable(j *cluster.Job) {
	if j.Gang.Durable++; j.GangVerdict() == gang.Run {
		for _, a := range j.Assignments {
			l.notify(a.Machine)
		}
	}
}

// leaveGang takes in that a task of a gang is off its machine. If it is not done, the
// others have to stop.
func (l *Leader) leaveGang(j *cluster.Job) {
	if j.Gang.Assigned--; !j.IsOver() && j.GangVerdict() == gang.Abort {
		slog.Debug("gang not whole", "job", j.ID, "attempt", j.Gang.Number, "term", l.fencing.token, "left", j.Gang.Assigned)
		l.stopGang(j, 0)
	}
}

// stopGang has all tasks of a gang stop at once: those that are not told within the
// workers' limit of the first keep the others from saving.
func (l *Leader) stopGang(j *cluster.Job, grace float64) {
	if j.Gang.Stopping {
		return
	}
	j.Gang.Stopping = true
	for _, a := range j.Assignments {
		if a.Outcome == cluster.Open && !a.Stop.Requested {
			a.Stop.Requested, a.Stop.GraceS = true, grace
			l.dropUnsent(a)
		}
	}
	l.planner.Requested = true
}

// stopTask stops a task, and with it the gang that it is one of.
func (l *Leader) stopTask(a *cluster.Assignment, grace float64) {
	if a.Job.IsGang() {
		l.stopGang(a.Job, grace)
		return
	}
	l.requestStop(a, grace)
}
