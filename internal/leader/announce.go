package leader

import (
	"time"

	"ospreyslip/internal/placement"
)

// An order, even an empty one, shows a worker the token of the term: its picture
// becomes conclusive and it reports within half a second, to the new leader. At a
// take-over that costs a connection for each machine, in the seconds in which all
// workers connect by themselves. So only those machines get one at once of which
// something is wanted: room for work, or the end of a task. The others have a report
// period to report by themselves.

// announce orders the machines found in the records that cannot wait.
func (l *Leader) announce() {
	needs := l.openNeeds()
	for _, p := range l.log.segments {
		for _, attempt := range sorted(p.begun) {
			a := p.begun[attempt]
			if a.job.over() || a.stop || l.mayTake(a.m, needs) {
				l.notify(a.m)
			}
		}
	}
}

// announceLate orders a machine that has not reported to this leader by itself.
func (l *Leader) announceLate(m *machine, now time.Time) {
	if m.phase == up && m.reported.IsZero() && m.token < l.term.Token && now.Sub(m.known) > l.Derived.AnnounceAfter {
		l.notify(m)
	}
}

// openNeeds returns what the tasks of unfinished jobs take, each amount once.
func (l *Leader) openNeeds() map[placement.Resources]bool {
	needs := map[placement.Resources]bool{}
	for _, j := range l.jobs {
		if !j.over() {
			needs[placement.TaskRequest(j.spec)] = true
		}
	}
	return needs
}

// mayTake tells whether a machine has room for one more task, as far as the records
// tell. One of unknown type may have.
func (l *Leader) mayTake(m *machine, needs map[placement.Resources]bool) bool {
	t := l.machineType(m.typ)
	if t == nil {
		return true
	}
	free := placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}.AddTimes(m.room, -1)
	for need := range needs {
		if free.Fits(need) {
			return true
		}
	}
	return false
}
