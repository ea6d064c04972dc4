package reconcile

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreyslip/internal/workers"
)

// stored is an attempt in session 3 whose beginning is written, of a job that goes on.
func stored(change func(*Attempt)) Attempt {
	a := Attempt{Session: 3, Durable: true, Ends: true, GangWhole: true}
	if change != nil {
		change(&a)
	}
	return a
}

func task(state, cause string) *workers.TaskStatus {
	return &workers.TaskStatus{State: state, Cause: cause}
}

func TestObserve(t *testing.T) {
	doubt := stored(func(a *Attempt) { a.DoubtToken = 7 })
	for _, c := range []struct {
		what    string
		attempt Attempt
		picture Picture
		want    Decision
	}{
		{"it runs as stored", stored(nil), Picture{3, 7, task(workers.StateRunning, "")}, Decision{Action: Adopt, Reason: Reported}},
		{"it ended while nobody led", stored(nil), Picture{3, 7, task(workers.StateEnded, workers.CauseDone)}, Decision{Action: Complete, Reason: "done"}},
		{"a service never completes", stored(func(a *Attempt) { a.Ends = false }), Picture{3, 7, task(workers.StateEnded, workers.CauseDone)}, Decision{Action: Restart, Reason: "done"}},
		{"it failed", stored(nil), Picture{3, 7, task(workers.StateEnded, workers.CauseError)}, Decision{Action: Restart, Reason: "error"}},
		{"the lease ran out", stored(nil), Picture{4, 7, nil}, Decision{Action: Restart, Reason: SessionOver}},
		{"a copy from an earlier session", stored(nil), Picture{2, 7, nil}, Decision{Action: Wait, Reason: NotHeard}},
		{"never begun", stored(nil), Picture{3, 7, nil}, Decision{Action: Begin, Reason: Absent}},
		{"never begun, and cancelled", stored(func(a *Attempt) { a.JobOver = true }), Picture{3, 7, nil}, Decision{Action: Restart, Reason: NotWanted}},
		{"an order is on its way", stored(func(a *Attempt) { a.Ordered = true }), Picture{3, 9, nil}, Decision{Action: InDoubt, Reason: OrderOpen}},
		{"an order may come late", doubt, Picture{3, 7, nil}, Decision{Action: InDoubt, Reason: TokenNotShown}},
		{"it would be refused", doubt, Picture{3, 8, nil}, Decision{Action: Begin, Reason: Absent}},
		{"it came", doubt, Picture{3, 7, task(workers.StateFetching, "")}, Decision{Action: Adopt, Reason: Reported}},
		{"its beginning is not written", stored(func(a *Attempt) { a.Durable = false }), Picture{3, 7, nil}, Decision{Action: Wait, Reason: NotWritten}},
	} {
		if got := Observe(c.attempt, c.picture); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", c.what, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

func TestCommand(t *testing.T) {
	for what, c := range map[string]struct {
		change func(*Attempt)
		want   Decision
	}{
		"just assigned":         {nil, Decision{Action: Begin, Reason: New}},
		"runs":                  {func(a *Attempt) { a.Seen = workers.StateRunning }, Decision{Action: Adopt, Reason: Reported}},
		"sent":                  {func(a *Attempt) { a.Sent = true }, Decision{Action: Wait, Reason: OrderOpen}},
		"in doubt":              {func(a *Attempt) { a.DoubtToken = 7 }, Decision{Action: InDoubt, Reason: TokenNotShown}},
		"cancelled":             {func(a *Attempt) { a.Seen, a.JobOver, a.JobCancelled = workers.StateRunning, true, true }, Decision{Action: Stop, Reason: JobCancelled}},
		"done elsewhere":        {func(a *Attempt) { a.Seen, a.JobOver = workers.StateRunning, true }, Decision{Action: Stop, Reason: JobOver}},
		"cancelled, never sent": {func(a *Attempt) { a.JobOver, a.JobCancelled = true, true }, Decision{Action: Wait, Reason: NotWanted}},
		"makes room":            {func(a *Attempt) { a.Seen, a.Stopping, a.GraceS = workers.StateRunning, true, 4 }, Decision{Action: Stop, Reason: MakeRoom, GraceS: 4}},
		"saves":                 {func(a *Attempt) { a.Seen, a.Stopping = workers.StateSaving, true }, Decision{Action: Wait, Reason: Saving}},
		"half of a gang":        {func(a *Attempt) { a.GangWhole = false }, Decision{Action: Wait, Reason: GangIncomplete}},
		"log has a hole":        {func(a *Attempt) { a.Incomplete = true }, Decision{Action: Wait, Reason: LossSuspected}},
		"not written":           {func(a *Attempt) { a.Durable = false }, Decision{Action: Wait, Reason: NotWritten}},
	} {
		if got := Command(stored(c.change)); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", what, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

func TestUnassigned(t *testing.T) {
	for what, c := range map[string]struct {
		task Unassigned
		want Decision
	}{
		"a stray":                  {Unassigned{ShownToken: 7, Answering: true}, Decision{Action: Stop, Reason: Stray}},
		"of a cancelled job":       {Unassigned{ShownToken: 7, JobCancelled: true}, Decision{Action: Stop, Reason: JobCancelled}},
		"of a lost job":            {Unassigned{ShownToken: 7, MaybeLost: true}, Decision{Action: InDoubt, Reason: LossSuspected}},
		"ended":                    {Unassigned{ShownToken: 7, Ended: true, Answering: true}, Decision{Action: Clear, Reason: EndTakenIn}},
		"ended, by an order":       {Unassigned{ShownToken: 7, Ended: true}, Decision{Action: Wait, Reason: EndTakenIn}},
		"its order may come again": {Unassigned{ShownToken: 7, OrderToken: 7, Ended: true, Answering: true}, Decision{Action: Wait, Reason: TokenNotShown}},
		"its order is refused":     {Unassigned{ShownToken: 8, OrderToken: 7, Ended: true, Answering: true}, Decision{Action: Clear, Reason: EndTakenIn}},
	} {
		if got := c.task.Command(); got != c.want {
			t.Errorf("%s: %v (%s), want %v (%s)", what, got.Action, got.Reason, c.want.Action, c.want.Reason)
		}
	}
}

// A report from before the term stops what is cancelled and proves nothing else; without a
// report only the end of the lease does.
func TestWithoutAWordOfThisTerm(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if d := OfEarlierReport(task(workers.StateRunning, ""), true); d.Action != Stop {
		t.Errorf("cancelled: %v", d)
	}
	if d := OfEarlierReport(task(workers.StateEnded, workers.CauseDone), false); d.Action != Wait {
		t.Errorf("done by an old report: %v", d)
	}
	if d := Unheard(now.Add(time.Second), now); d.Action != Wait || d.Until != now.Add(time.Second) {
		t.Errorf("within the lease: %v", d)
	}
	if d := Unheard(now, now); d.Action != Restart || d.Reason != LeaseOver {
		t.Errorf("after it: %v", d)
	}
	if d := OfRecord(stored(nil), true, 3, now); d.Action != Complete {
		t.Errorf("recorded as done: %v", d)
	}
	if d := OfRecord(stored(nil), false, 4, now); d.Action != Restart {
		t.Errorf("a later session is recorded: %v", d)
	}
	if d := OfRecord(stored(nil), false, 3, now); d.Action != Wait || d.Until != now {
		t.Errorf("by the record alone: %v", d)
	}
}

// Whatever is known: nothing is begun or given up while a command to begin it may be on its
// way, and a task on its machine is stopped only for its job's end or when it is asked to.
func TestNothingHealthyIsTouched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		a := Attempt{
			Session: 3, Durable: flag("durable"), Ordered: flag("ordered"), Sent: flag("sent"), Ends: flag("ends"),
			DoubtToken: rapid.Uint64Range(0, 8).Draw(t, "doubt"), Seen: rapid.SampledFrom([]string{"", workers.StateRunning, workers.StateSaving}).Draw(t, "seen"),
			JobOver: flag("over"), Stopping: flag("stopping"), GangWhole: flag("whole"), Incomplete: flag("incomplete"),
		}
		shown := rapid.Uint64Range(1, 9).Draw(t, "shown")
		onItsWay := a.Ordered || a.DoubtToken != 0 && shown <= a.DoubtToken
		d := Observe(a, Picture{Session: 3, Token: shown})
		if (d.Action == Restart || d.Action == Begin) && (onItsWay || !a.Durable) {
			t.Fatalf("%+v with token %d: %v (%s)", a, shown, d.Action, d.Reason)
		}
		c := Command(a)
		if c.Action == Begin && (a.Seen != "" || a.Sent || a.Ordered || a.DoubtToken != 0 || a.JobOver || a.Stopping || !a.GangWhole || a.Incomplete || !a.Durable) {
			t.Fatalf("%+v begins", a)
		}
		if c.Action == Stop && !a.JobOver && !a.Stopping {
			t.Fatalf("%+v stops", a)
		}
	})
}

// A take-over is settled when every machine of the records is accounted for. Until then, or
// until those that are left are late, others are stopped only for what would wait too long.
func TestTakeover(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	to := NewTakeover(began, 6*time.Second)
	for _, m := range []string{"m-1", "m-2", "m-3", "m-1"} {
		to.Expect(m)
	}
	if to.Phase() != Reading || to.Settle(at(1)) {
		t.Error("settled before the records were read")
	}
	to.RecordsRead(at(1))
	to.Heard("m-1")
	to.Heard("m-1")
	to.Answered(at(1.5))
	to.Answered(at(2))
	to.Told(workers.OpRun, New)
	if to.Phase() != Hearing || to.MayPreempt(at(2), at(1.9), time.Second) {
		t.Error("m-2 and m-3 may have room")
	}
	if !to.MayPreempt(at(2), at(0), time.Second) || to.MayPreempt(at(1.9), at(0), time.Second) {
		t.Error("what waits since before is bounded from when the records were read")
	}
	if !to.MayPreempt(at(7), at(6.9), time.Minute) {
		t.Error("m-2 and m-3 are late: their room is not waited for")
	}
	if p := to.Progress(at(7)); p.Late != 2 || p.Heard != 1 || p.Expected != 3 {
		t.Errorf("%+v", p)
	}
	to.Heard("m-2")
	to.Gone("m-3")
	to.Gone("m-2")
	if !to.Settle(at(9)) || to.Settle(at(10)) {
		t.Error("settled once, when all are accounted for")
	}
	to.Told(workers.OpRun, New)
	p := to.Progress(at(10))
	if p.Phase != Settled || p.Heard != 2 || p.Never != 1 || p.SettledS != 9 || p.AnswerS != 1.5 || p.OrderS != 0 {
		t.Errorf("%+v", p)
	}
	if len(p.Commands) != 1 || p.Commands[0].String() != "run (assigned): 1" {
		t.Errorf("commands %v", p.Commands)
	}
	to.Expect("m-9")
	if to.Phase() != Settled || !to.MayPreempt(at(10), at(10), time.Hour) {
		t.Error("a settled take-over expects nothing")
	}
}
