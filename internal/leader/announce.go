package leader

import (
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// An order, even an empty one, shows a worker the token of the term: its picture
// becomes conclusive and it reports within half a second, to the new leader. At a
// take-over that costs a connection for each machine, in the seconds in which all
// workers connect by themselves. So only those machines get one at once of which
// something is wanted: room for work, or the end of a task. The others have a report
// period to report by themselves.

// announceTerm orders the machines found in the records that cannot wait.
func (l *Leader) announceTerm() {
	needs := l.pendingRequests()
	for _, p := range l.log.Segments() {
		for _, attempt := range cluster.SortedAttempts(p.Begun) {
			a := p.Begun[attempt]
			if a.Job.IsOver() || a.Stop.Requested || l.mayHaveRoom(a.Machine, needs) {
				l.notify(a.Machine)
			}
		}
	}
}

// announceToSilent orders a machine that has not reported to this leader by itself.
func (l *Leader) announceToSilent(m *cluster.Machine, now time.Time) {
	if m.Phase == cluster.Up && m.Worker.HeartbeatAt.IsZero() && m.Worker.Token < l.term.FencingToken && now.Sub(m.Rental.KnownSince) > l.Derived.Workers.AnnounceDelay {
		l.notify(m)
	}
}

// pendingRequests returns what the tasks of unfinished jobs take, each amount once.
func (l *Leader) pendingRequests() map[placement.Resources]bool {
	needs := map[placement.Resources]bool{}
	for _, j := range l.state.Jobs {
		if !j.IsOver() {
			needs[placement.TaskRequest(j.Spec)] = true
		}
	}
	return needs
}

// mayHaveRoom tells whether a machine has room for one more task, as far as the records
// tell. One of unknown type may have.
func (l *Leader) mayHaveRoom(m *cluster.Machine, needs map[placement.Resources]bool) bool {
	t := l.catalog.Type(m.Type)
	if t == nil {
		return true
	}
	free := placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}.AddTimes(m.Used, -1)
	for need := range needs {
		if free.Fits(need) {
			return true
		}
	}
	return false
}
