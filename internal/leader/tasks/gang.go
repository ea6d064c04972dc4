package tasks

import (
	"log/slog"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/leader/cluster"
)

// gangBeginDurable counts a durable assignment of a gang. The last one lets all of them go.
func (m *Manager) gangBeginDurable(job *cluster.Job) {
	if job.Gang.Durable++; job.GangVerdict() == gang.Run {
		for _, a := range job.Assignments {
			m.Host.Notify(a.Machine)
		}
	}
}

// leaveGang takes in that a task of a gang is off its machine. If it is not done, the others
// have to stop.
func (m *Manager) leaveGang(job *cluster.Job) {
	if job.Gang.Assigned--; !job.IsOver() && job.GangVerdict() == gang.Abort {
		slog.Debug("gang incomplete", "job", job.ID, "attempt", job.Gang.Number, "term", m.Fencing.Current, "left", job.Gang.Assigned)
		m.StopGang(job, 0)
	}
}

// StopGang has all tasks of a gang stop at once: those that are not told within the workers'
// limit of the first keep the others from saving. The grace is in seconds.
func (m *Manager) StopGang(job *cluster.Job, graceS float64) {
	if job.Gang.Stopping {
		return
	}
	job.Gang.Stopping = true
	for _, a := range job.Assignments {
		if a.Outcome == cluster.Open && !a.Stop.Requested {
			a.Stop.Requested, a.Stop.GraceS = true, graceS
			m.EndIfUnsent(a)
		}
	}
	m.Planner.Requested = true
}
