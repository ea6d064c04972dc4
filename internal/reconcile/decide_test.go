package reconcile

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreyslip/internal/workers"
)

// durableAttempt returns an attempt in agent epoch 3 whose start is durable, of an unfinished job.
func durableAttempt(change func(*Attempt)) Attempt {
	a := Attempt{AgentEpoch: 3, Durable: true, RunsToCompletion: true, GangReady: true}
	if change != nil {
		change(&a)
	}
	return a
}

func task(state, cause string) *workers.TaskStatus {
	return &workers.TaskStatus{State: state, Cause: cause}
}

func TestDecideOnHeartbeat(t *testing.T) {
	inDoubt := durableAttempt(func(a *Attempt) { a.InDoubtToken = 7 })
	for _, c := range []struct {
		name        string
		attempt     Attempt
		observation Observation
		want        Decision
	}{
		{"runs as recorded", durableAttempt(nil), Observation{3, 7, task(workers.StateRunning, "")}, Decision{Action: Adopt, Reason: Reported}},
		{"completed while there was no leader", durableAttempt(nil), Observation{3, 7, task(workers.StateEnded, workers.CauseDone)}, Decision{Action: Complete, Reason: "done"}},
		{"a service never completes", durableAttempt(func(a *Attempt) { a.RunsToCompletion = false }), Observation{3, 7, task(workers.StateEnded, workers.CauseDone)}, Decision{Action: Reschedule, Reason: "done"}},
		{"failed", durableAttempt(nil), Observation{3, 7, task(workers.StateEnded, workers.CauseError)}, Decision{Action: Reschedule, Reason: "error"}},
		{"a later agent epoch has started", durableAttempt(nil), Observation{4, 7, nil}, Decision{Action: Reschedule, Reason: AgentEpochEnded}},
		{"delayed heartbeat of an earlier agent epoch", durableAttempt(nil), Observation{2, 7, nil}, Decision{Action: Wait, Reason: NoHeartbeat}},
		{"never started", durableAttempt(nil), Observation{3, 7, nil}, Decision{Action: Start, Reason: Absent}},
		{"never started, and cancelled", durableAttempt(func(a *Attempt) { a.JobFinished = true }), Observation{3, 7, nil}, Decision{Action: Reschedule, Reason: NotWanted}},
		{"a start command is in flight", durableAttempt(func(a *Attempt) { a.CommandPending = true }), Observation{3, 9, nil}, Decision{Action: InDoubt, Reason: CommandUnanswered}},
		{"an earlier command may still arrive", inDoubt, Observation{3, 7, nil}, Decision{Action: InDoubt, Reason: TokenNotSuperseded}},
		{"an earlier command would be refused", inDoubt, Observation{3, 8, nil}, Decision{Action: Start, Reason: Absent}},
		{"the earlier command has arrived", inDoubt, Observation{3, 7, task(workers.StateFetching, "")}, Decision{Action: Adopt, Reason: Reported}},
		{"its start is not durable", durableAttempt(func(a *Attempt) { a.Durable = false }), Observation{3, 7, nil}, Decision{Action: Wait, Reason: StartNotDurable}},
	} {
		if got := DecideOnHeartbeat(c.attempt, c.observation); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", c.name, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

func TestDecideCommand(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Decision
	}{
		"just assigned":                     {nil, Decision{Action: Start, Reason: Assigned}},
		"runs":                              {func(a *Attempt) { a.ObservedState = workers.StateRunning }, Decision{Action: Adopt, Reason: Reported}},
		"sent":                              {func(a *Attempt) { a.Sent = true }, Decision{Action: Wait, Reason: CommandUnanswered}},
		"in doubt":                          {func(a *Attempt) { a.InDoubtToken = 7 }, Decision{Action: InDoubt, Reason: TokenNotSuperseded}},
		"cancelled":                         {func(a *Attempt) { a.ObservedState, a.JobFinished, a.JobCancelled = workers.StateRunning, true, true }, Decision{Action: Stop, Reason: JobCancelled}},
		"job finished":                      {func(a *Attempt) { a.ObservedState, a.JobFinished = workers.StateRunning, true }, Decision{Action: Stop, Reason: JobFinished}},
		"cancelled, never sent":             {func(a *Attempt) { a.JobFinished, a.JobCancelled = true, true }, Decision{Action: Wait, Reason: NotWanted}},
		"preempted":                         {func(a *Attempt) { a.ObservedState, a.Preempted, a.GraceS = workers.StateRunning, true, 4 }, Decision{Action: Stop, Reason: Preempted, GraceS: 4}},
		"preempted, writing its checkpoint": {func(a *Attempt) { a.ObservedState, a.Preempted = workers.StateSaving, true }, Decision{Action: Wait, Reason: Checkpointing}},
		"gang incomplete":                   {func(a *Attempt) { a.GangReady = false }, Decision{Action: Wait, Reason: GangIncomplete}},
		"records incomplete":                {func(a *Attempt) { a.RecordsIncomplete = true }, Decision{Action: Wait, Reason: RecordsIncomplete}},
		"start not durable":                 {func(a *Attempt) { a.Durable = false }, Decision{Action: Wait, Reason: StartNotDurable}},
	} {
		if got := DecideCommand(durableAttempt(c.change)); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", name, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

func TestOrphanedTask(t *testing.T) {
	for name, c := range map[string]struct {
		task OrphanedTask
		want Decision
	}{
		"running":                               {OrphanedTask{WorkerToken: 7, InHeartbeatResponse: true}, Decision{Action: Stop, Reason: Orphaned}},
		"running, of a cancelled job":           {OrphanedTask{WorkerToken: 7, JobCancelled: true}, Decision{Action: Stop, Reason: JobCancelled}},
		"running, records incomplete":           {OrphanedTask{WorkerToken: 7, RecordsIncomplete: true}, Decision{Action: InDoubt, Reason: RecordsIncomplete}},
		"ended":                                 {OrphanedTask{WorkerToken: 7, Ended: true, InHeartbeatResponse: true}, Decision{Action: Acknowledge, Reason: EndRecorded}},
		"ended, outside a heartbeat response":   {OrphanedTask{WorkerToken: 7, Ended: true}, Decision{Action: Wait, Reason: EndRecorded}},
		"ended, start command may arrive again": {OrphanedTask{WorkerToken: 7, CommandToken: 7, Ended: true, InHeartbeatResponse: true}, Decision{Action: Wait, Reason: TokenNotSuperseded}},
		"ended, start command would be refused": {OrphanedTask{WorkerToken: 8, CommandToken: 7, Ended: true, InHeartbeatResponse: true}, Decision{Action: Acknowledge, Reason: EndRecorded}},
	} {
		if got := c.task.DecideCommand(); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", name, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

// Without a heartbeat from this term, only the expiry of the lease and the records prove anything.
// A heartbeat from before the term may stop a cancelled task but proves nothing.
func TestWithoutHeartbeatOfThisTerm(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if d := DecideOnStaleHeartbeat(task(workers.StateRunning, ""), true); d.Action != Stop {
		t.Errorf("running task of a cancelled job in a stale heartbeat: %v", d)
	}
	if d := DecideOnStaleHeartbeat(task(workers.StateEnded, workers.CauseDone), false); d.Action != Wait {
		t.Errorf("task done in a stale heartbeat: %v", d)
	}
	if d := DecideWithoutHeartbeat(now.Add(time.Second), now); d.Action != Wait || d.Until != now.Add(time.Second) {
		t.Errorf("before the lease expires: %v", d)
	}
	if d := DecideWithoutHeartbeat(now, now); d.Action != Reschedule || d.Reason != LeaseExpired {
		t.Errorf("when the lease has expired: %v", d)
	}
	if d := DecideOnRecords(durableAttempt(nil), true, 3, now); d.Action != Complete {
		t.Errorf("recorded as done: %v", d)
	}
	if d := DecideOnRecords(durableAttempt(nil), false, 4, now); d.Action != Reschedule {
		t.Errorf("a later agent epoch is recorded: %v", d)
	}
	if d := DecideOnRecords(durableAttempt(nil), false, 3, now); d.Action != Wait || d.Until != now {
		t.Errorf("records prove nothing: %v", d)
	}
}

// No attempt is started or rescheduled while a start command may be in flight, and a task on its
// machine is stopped only if its job has finished or it is preempted.
func TestNoUnsafeStartOrStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		a := Attempt{
			AgentEpoch: 3, Durable: flag("durable"), CommandPending: flag("command pending"), Sent: flag("sent"), RunsToCompletion: flag("runs to completion"),
			InDoubtToken: rapid.Uint64Range(0, 8).Draw(t, "in-doubt token"), ObservedState: rapid.SampledFrom([]string{"", workers.StateRunning, workers.StateSaving}).Draw(t, "observed state"),
			JobFinished: flag("job finished"), Preempted: flag("preempted"), GangReady: flag("gang ready"), RecordsIncomplete: flag("records incomplete"),
		}
		workerToken := rapid.Uint64Range(1, 9).Draw(t, "worker token")
		commandMayArrive := a.CommandPending || a.InDoubtToken != 0 && workerToken <= a.InDoubtToken
		d := DecideOnHeartbeat(a, Observation{AgentEpoch: 3, Token: workerToken})
		if (d.Action == Reschedule || d.Action == Start) && (commandMayArrive || !a.Durable) {
			t.Fatalf("%+v with token %d: %v (%s)", a, workerToken, d.Action, d.Reason)
		}
		c := DecideCommand(a)
		if c.Action == Start && (a.ObservedState != "" || a.Sent || a.CommandPending || a.InDoubtToken != 0 || a.JobFinished || a.Preempted || !a.GangReady || a.RecordsIncomplete || !a.Durable) {
			t.Fatalf("%+v is started", a)
		}
		if c.Action == Stop && !a.JobFinished && !a.Preempted {
			t.Fatalf("%+v is stopped", a)
		}
	})
}
