package tasks

import (
	"log/slog"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/leader/cluster"
)

// countDurableGangAssignment counts a durable assignment of a gang. Once all the gang's assignments
// are durable, it notifies the workers of all tasks.
func (m *Manager) countDurableGangAssignment(job *cluster.Job) {
	if job.Gang.Durable++; job.GangVerdict() == gang.Run {
		for _, a := range job.Assignments {
			m.Host.Notify(a.Machine)
		}
	}
}

// removeFromGang removes a task that is off its machine from the current attempt of its gang. Unless
// the job is finished, the remaining tasks have to stop.
func (m *Manager) removeFromGang(job *cluster.Job) {
	if job.Gang.Assigned--; !job.IsFinished() && job.GangVerdict() == gang.Abort {
		slog.Debug("gang incomplete", "job", job.ID, "attempt", job.Gang.Number, "term", m.Fencing.Current, "left", job.Gang.Assigned)
		m.StopGang(job, 0)
	}
}

// StopGang requests that all tasks of a gang stop, with graceS seconds to save a checkpoint. All
// workers are notified at once: a task whose worker gets the command later than GangStopWindow
// after the first keeps the whole gang from saving.
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
	m.Planner.PlanRequested = true
}
