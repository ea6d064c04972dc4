package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
)

// drainStragglers finds machines that run tasks much slower than others, and takes the batch work
// off them that would be over sooner elsewhere.
func (l *Leader) drainStragglers(now time.Time) {
	for _, m := range l.state.Machines.All {
		if m.Phase != cluster.Up || len(m.Assignments) == 0 {
			continue
		}
		if !m.Offer.Straggler {
			slow, odds := l.runTimes.IsStraggler(m, now)
			if !slow {
				continue
			}
			slog.Info("machine slow", "machine", m.ID, "term", l.fencing.token, "odds", odds)
			m.Offer.Straggler = true
		}
		servesUsers := false
		for _, a := range m.Assignments {
			if !a.Job.Spec.RunsToCompletion() {
				servesUsers = true
				continue
			}
			if a.Outcome == cluster.Open && !a.Stop.Requested && l.runTimes.SoonerElsewhere(a, now) {
				l.stopTask(a, a.Job.Spec.CheckpointSaveS)
				l.planner.Requested = true
			}
		}
		m.Health.Draining = m.Health.Draining || !servesUsers
		l.updateCapacity(m, now)
	}
}
