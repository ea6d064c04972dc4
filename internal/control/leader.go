package control

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/fleet"
	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/state"
	"ospreyslip/internal/term"
	"ospreyslip/internal/workers"
)

// Deps is what a leader works with.
type Deps struct {
	Settings *settings.Settings
	Derived  settings.Derived
	Store    *state.Client
	Cloud    *fleet.Cloud
	Workers  *workers.Client
	Valid    func() bool // holds the term at this moment
	// Promised is when the promises were asked for that keep the term in an outage;
	// they came from all other nodes.
	Promised func() time.Time
	Raised   func(token uint64) // told of a token raised within the term
	Publish  func(map[string]jobs.Counts)
	Catalog  func() []jobs.MachineType
	Counts   *Counts
}

// Counts hands the leader's display counts to the users' side.
type Counts struct {
	mu sync.RWMutex
	m  map[string]jobs.Counts
}

// NewCounts makes an empty table.
func NewCounts() *Counts { return &Counts{m: map[string]jobs.Counts{}} }

// Get returns a job's counts.
func (c *Counts) Get(id string) (jobs.Counts, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v, ok := c.m[id]
	return v, ok
}

func (c *Counts) set(id string, v jobs.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[id] = v
}

func (c *Counts) drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.m, id)
}

// Replace takes in the counts that a leader has published.
func (c *Counts) Replace(m map[string]jobs.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m = m
}

// shown returns the counts that say more than that nothing has happened.
func (c *Counts) shown() map[string]jobs.Counts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]jobs.Counts, len(c.m))
	for id, v := range c.m {
		if v != (jobs.Counts{}) {
			out[id] = v
		}
	}
	return out
}

func (c *Counts) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.m)
}

// Gate leads reports to the leader that is on duty, if there is one.
type Gate struct {
	on       atomic.Pointer[Leader]
	resigned time.Time // owned by the goroutine that leads
}

// Report hands a report over and returns the answer; nil means that this node
// has no right, or no time, to answer.
func (g *Gate) Report(ctx context.Context, r *workers.Report) *workers.Answer {
	l := g.on.Load()
	if l == nil {
		return nil
	}
	req := reportIn{r, make(chan *workers.Answer, 1)}
	select {
	case l.reports <- req:
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case a := <-req.reply:
		return a
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// Seen returns up to which revision the picture of the jobs on duty has all changes;
// 0 if there is none.
func (g *Gate) Seen() uint64 {
	if l := g.on.Load(); l != nil {
		return l.seen.Load()
	}
	return 0
}

// Cancelled hands over all cancellations that users may have been told of by a
// moment and that are newer than what was seen.
func (g *Gate) Cancelled(ctx context.Context, all []jobs.Cancellation, by time.Time) {
	if l := g.on.Load(); l != nil {
		l.post(ctx, func(time.Time) { l.cancelledUnseen(all, by) })
	}
}

type reportIn struct {
	report *workers.Report
	reply  chan *workers.Answer
}

// Leader is one term's work.
type Leader struct {
	Deps
	term  term.Term
	token uint64 // raised within the term to end doubts

	reports chan reportIn
	events  chan func(now time.Time) // outcomes of I/O, applied by the one goroutine
	quit    chan struct{}

	jobs     map[string]*job
	machines machineSet
	watch    *liveness.Watch
	used     map[string]placement.Amount
	attempts uint64
	fresh    time.Time         // all that users were told by then is in the picture of the jobs
	seen     atomic.Uint64     // as are all changes up to this revision
	unseen   map[string]uint64 // jobs known to be cancelled at a later revision

	writing       bool
	stuck         bool // the last transaction was not executed, as far as is known
	tokenRevision uint64
	raise         bool
	doubtful      map[*machine]bool // with a doubtSince, and some that had one
	expireAt      time.Time         // no worker's lease ends before
	raisedAt      time.Time
	clearHeld     bool // an end is not cleared, for want of a higher token
	mayResign     bool
	resign        bool
	finals        []*job
	log           assignmentLog
	flushedAt     time.Time

	tickGroup        int // of the ticks in a control interval
	capacity         placement.CapacityIndex
	ranks            [8]int // tasks on machines, by priority
	queued           map[*job]bool
	uncovered        bool // which jobs are covered is to be found out anew
	replan           bool
	plannedAt        time.Time
	planTook         time.Duration
	unmet            []placement.Demand
	notifyQueue      []*machine // have something to be told at once
	unconfirmedQueue []*machine // the same, but they may not answer
	ordersInFlight   int
	callsInFlight    int

	shownAt         time.Time
	fleetAt         time.Time
	fleetTook       time.Duration
	rentalsMade     int // requests made
	rentalsInFlight int
	returns         []string // machines to be given back
	returning       bool     // a request is on its way
	renting         map[fleet.Kind]int
	refused         map[fleet.Kind]refusal
	listSyncAt      time.Time
	flow            float64 // batch work that arrives, in CPUs
	flowAt          time.Time
	runs            map[string]*runs     // by class
	gone            map[string]time.Time // given back, though perhaps still listed
}

type refusal struct {
	until time.Time
	wait  time.Duration
}

// ticksPerInterval is how many ticks there are in a control interval. What need not be looked at in each,
// of thousands of machines, has its turn in one of them.
const ticksPerInterval = 8

// smallZone is the size of a zone that the operators' gap between verdicts is for.
const smallZone = 20

// Lead does one term's work until the context ends.
func (g *Gate) Lead(ctx context.Context, d Deps, t term.Term) {
	l := &Leader{
		Deps: d, term: t, token: t.Token, tokenRevision: t.TokenRevision,
		reports: make(chan reportIn, 16), events: make(chan func(time.Time), 64), quit: make(chan struct{}),
		jobs: map[string]*job{}, machines: newMachineSet(), used: map[string]placement.Amount{},
		queued: map[*job]bool{}, renting: map[fleet.Kind]int{}, refused: map[fleet.Kind]refusal{}, gone: map[string]time.Time{}, runs: map[string]*runs{},
		unseen: map[string]uint64{}, doubtful: map[*machine]bool{},
		attempts: t.Token << 24,
	}
	l.watch = liveness.New(liveness.Config{
		SilentFor: d.Derived.SilentFor, LeaseOver: d.Derived.LeaseOver,
		HoldGrace: d.Derived.HoldGrace, Gap: d.Derived.VerdictGap, ZoneSize: smallZone,
		Overdue: d.Derived.Overdue, GroupSilent: d.Derived.ZoneSilent, Weight: l.services,
	})
	ctx, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() {
		g.on.CompareAndSwap(l, nil)
		stop()
		close(l.quit)
		duties.Wait()
		d.Counts.clear()
	}()
	after, err := l.load(ctx)
	if err != nil {
		slog.Info("records not read, resigning", "term", t.Token, "reason", err)
		return
	}
	duties.Go(func() { l.follow(ctx, after) })
	duties.Go(func() { l.listing(ctx) })
	// A leader that no worker reaches makes way for one that may be reached. It
	// does so once in a while only: if all machines are really gone, nobody can.
	l.mayResign = time.Since(g.resigned) > 4*d.Derived.Lease && len(d.Settings.Peers) > 0
	g.on.Store(l)
	l.run(ctx)
	if l.resign {
		g.resigned = time.Now()
	}
}

// post hands an outcome to the leader's goroutine.
func (l *Leader) post(ctx context.Context, f func(now time.Time)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

func (l *Leader) run(ctx context.Context) {
	tick := time.NewTicker(l.Derived.ControlInterval / ticksPerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			f(time.Now())
		case in := <-l.reports:
			in.reply <- l.report(in.report, time.Now())
		case <-tick.C:
			l.tick(ctx, time.Now())
		}
		// Take in what else has come before deciding once for all of it.
		for more := true; more; {
			select {
			case f := <-l.events:
				f(time.Now())
			case in := <-l.reports:
				in.reply <- l.report(in.report, time.Now())
			default:
				more = false
			}
		}
		if ctx.Err() != nil || l.resign {
			return
		}
		now := time.Now()
		if l.mayPlan(now) {
			l.place(now)
		}
		l.flush(ctx, now)
		l.orders(ctx, now)
	}
}

// mayBegin tells whether new work can be made durable. While it cannot, a plan
// would stop tasks to make room that nothing can be placed in.
func (l *Leader) mayBegin(now time.Time) bool {
	return !l.stuck && now.Sub(l.Promised()) > l.Derived.TermLease
}

// load reads all records. The term is ours already, so that no earlier leader
// can change them any more; users can, and the watch starts where load began.
func (l *Leader) load(ctx context.Context) (after uint64, err error) {
	now := time.Now()
	l.fresh = now
	segments, _, err := l.Store.List(ctx, logPrefix)
	if err != nil {
		return 0, err
	}
	log := l.readLog(segments)
	named := jobsNamed(log)
	ended := map[string]state.Pair{} // of which tasks may be left
	over := 0
	after, err = l.Store.Each(ctx, jobs.RecordPrefix, func(p state.Pair) {
		var rec jobs.Record
		if err := jsonv2.Unmarshal(p.Value, &rec); err != nil {
			slog.Error("job record unreadable", "key", p.Key, "reason", err)
			return
		}
		id := jobs.IDOf(p.Key)
		if !rec.Over() && rec.Spec != nil {
			l.jobs[id] = newJob(id, rec.Spec, p.Revision, rec.AtMs, now)
			return
		}
		over++
		if named[id] {
			ended[id] = p
		}
	})
	if err != nil {
		return 0, err
	}
	l.restore(log, ended, now)
	for _, j := range l.jobs {
		if j.isGang() && !j.over() && j.verdict() == gang.End {
			l.stopGang(j, 0) // its leader ended when a part of it had begun, or was over
		}
		if !j.over() && j.spec.Shape == jobs.Batch && j.doneCount == j.spec.Tasks {
			l.finish(j)
		}
		l.show(j)
		l.queue(j)
		age := time.Duration(now.UnixMilli()-j.atMs) * time.Millisecond
		l.arrived(j, age, now)
		l.remember(j, age, now)
	}
	l.replan, l.uncovered = true, true
	l.raisedAt = now
	l.listSyncAt = now.Add(2 * l.Derived.ListLag)
	l.seen.Store(after)
	slog.Info("records read", "term", l.token, "jobs", len(l.jobs), "ended", over, "machines", len(l.machines.all))
	return after, nil
}

// jobsNamed returns the jobs of which the log has tasks.
func jobsNamed(log []segmentRecord) map[string]bool {
	named := map[string]bool{}
	for _, segment := range log {
		for _, b := range segment.Begun {
			for _, t := range b.Tasks {
				named[t.Job] = true
			}
		}
	}
	return named
}

// restore takes in the log. Whatever it names may be there: the tasks count
// until a report under our token, or the end of the lease, shows otherwise. No
// earlier leader answered a report later than the term began.
func (l *Leader) restore(recs []segmentRecord, ended map[string]state.Pair, now time.Time) {
	first := len(l.log.segments) - len(recs)
	where := map[uint64]*segment{}
	defer l.announce()
	for i, rec := range recs {
		p := l.log.segments[first+i]
		for _, b := range rec.Begun {
			m := l.restoreMachine(b, now)
			for _, t := range b.Tasks {
				if old := where[t.Attempt]; old != nil {
					delete(old.begun, t.Attempt) // carried along since
				}
				where[t.Attempt] = p
				l.restoreTask(p, m, b.Session, t, ended, now)
			}
		}
		for _, attempt := range rec.Over {
			if p := where[attempt]; p != nil {
				delete(p.begun, attempt)
			}
		}
		for _, d := range rec.Done {
			j := l.jobs[d.Job]
			if j == nil || d.Chunk < 0 || d.Chunk*l.Derived.ChunkTasks >= j.spec.Tasks {
				continue
			}
			if err := j.loadChunk(d.Chunk, l.Derived.ChunkTasks, d.Bits); err != nil {
				slog.Error("completions unreadable", "job", d.Job, "reason", err)
				continue
			}
			ref := chunkRef{j, d.Chunk}
			p.done[ref] = true
			j.chunks[d.Chunk] = &chunk{home: p, saved: true}
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range sorted(p.begun) {
			a := p.begun[attempt]
			l.count(a)
			a.m.assigned[attempt] = a
			a.job.tasks[a.n] = a
			if !a.job.isDone(a.n) {
				a.job.waiting--
			}
			if a.job.isGang() {
				a.job.joined(a)
			}
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range sorted(p.begun) {
			a := p.begun[attempt]
			switch {
			case a.job.isDone(a.n):
				l.over(a, success)
			case a.session < a.m.session:
				l.over(a, retry) // its session was over when a later one was recorded
			}
		}
	}
}

func (l *Leader) restoreMachine(b begunRecord, now time.Time) *machine {
	m := l.machines.byID[b.Machine]
	if m == nil {
		m = newMachine(b.Machine, now)
		m.phase, m.leaseUntil = up, now.Add(l.Derived.LeaseOver)
		l.machines.add(m)
		l.watch.Restore(m.id, b.Zone, now)
	}
	m.addr, m.typ, m.zone, m.spot = b.Addr, b.Type, b.Zone, b.Spot
	m.session = max(m.session, b.Session)
	return m
}

// restoreTask finds out what may be on a machine; it does not count before the
// whole log is read.
func (l *Leader) restoreTask(p *segment, m *machine, session uint64, t taskRecord, ended map[string]state.Pair, now time.Time) {
	j := l.jobs[t.Job]
	if j == nil {
		var old jobs.Record
		if p, ok := ended[t.Job]; ok {
			_ = jsonv2.Unmarshal(p.Value, &old)
		}
		if old.Spec == nil {
			// Done: what is left of it on the machine ends by itself.
			old.Spec = &jobs.Spec{ID: t.Job, Tasks: t.N + 1, Shape: jobs.Batch}
		}
		j = newJob(t.Job, old.Spec, ended[t.Job].Revision, 0, now)
		j.cancelled = true
		l.jobs[t.Job] = j
	}
	if t.N < 0 || t.N >= j.spec.Tasks {
		if !j.cancelled {
			slog.Error("record names a task that its job does not have", "job", t.Job, "task", t.N)
			return
		}
		j.grow(t.N + 1)
	}
	p.begun[t.Attempt] = &assignment{
		job: j, n: t.N, attempt: t.Attempt, gang: t.Gang, session: session, m: m, home: p,
		restored: true, durable: true, doubt: l.token - 1, born: now, since: now,
	}
}

// follow watches the jobs.
func (l *Leader) follow(ctx context.Context, after uint64) {
	var least uint64
	var asked time.Time
	for ctx.Err() == nil {
		// Only what reaches a revision read at some moment is as new as that: a
		// watch may lag, or be empty because the service does not serve this node.
		if sent := time.Now(); least <= after {
			if r, err := l.Store.Revision(ctx); err == nil {
				least, asked = r, sent
			}
		}
		rev, changes, err := l.Store.Watch(ctx, jobs.RecordPrefix, after, l.Derived.WatchWait)
		if errors.Is(err, state.ErrCompacted) {
			var pairs []state.Pair
			if pairs, rev, err = l.Store.List(ctx, jobs.RecordPrefix); err == nil {
				for _, p := range pairs {
					changes = append(changes, state.Change{Set: p.Key, Value: p.Value, Revision: p.Revision})
				}
			}
		}
		if err != nil {
			slog.Debug("watch failed", "term", l.term.Token, "reason", err)
			select {
			case <-ctx.Done():
			case <-time.After(l.Derived.TermRenew):
			}
			continue
		}
		after = max(after, rev)
		seen := after
		proven := after >= least && !asked.IsZero()
		sent := asked
		l.post(ctx, func(now time.Time) {
			if proven && sent.After(l.fresh) {
				l.fresh = sent
			}
			for _, c := range changes {
				l.jobChanged(c, now)
			}
			l.seen.Store(seen)
			maps.DeleteFunc(l.unseen, func(_ string, at uint64) bool { return at <= seen })
		})
	}
}

// cancelledUnseen takes in what users were told by a moment, while no change can be
// had from the state service. What it names ends at once, and is not begun when the
// changes come that say that it was accepted.
func (l *Leader) cancelledUnseen(all []jobs.Cancellation, by time.Time) {
	for _, c := range all {
		if c.Revision <= l.seen.Load() {
			continue
		}
		l.unseen[c.Job] = c.Revision
		if j := l.jobs[c.Job]; j != nil && !j.cancelled {
			l.cancelled(j, c.Revision)
		}
	}
	if by.After(l.fresh) {
		l.fresh = by
	}
}

func (l *Leader) cancelled(j *job, revision uint64) {
	slog.Info("job cancelled", "job", j.id, "term", l.token)
	j.cancelled, j.revision, j.heard = true, revision, time.Now()
	l.cancelTasks(j)
}

func (l *Leader) jobChanged(c state.Change, now time.Time) {
	if c.Set == "" {
		return
	}
	var rec jobs.Record
	if err := jsonv2.Unmarshal(c.Value, &rec); err != nil {
		slog.Error("job record unreadable", "key", c.Set, "reason", err)
		return
	}
	id := jobs.IDOf(c.Set)
	j := l.jobs[id]
	switch {
	case j == nil && l.unseen[id] > c.Revision: // cancelled since
	case j == nil && !rec.Over() && rec.Spec != nil:
		j = newJob(id, rec.Spec, c.Revision, rec.AtMs, now)
		l.jobs[id] = j
		l.show(j)
		l.queue(j)
		l.arrived(j, 0, now)
		l.replan, l.uncovered = true, true
	case j != nil && rec.State == jobs.Cancelled && !j.cancelled:
		l.cancelled(j, c.Revision)
	}
}

func (l *Leader) cancelTasks(j *job) {
	for _, a := range j.tasks {
		l.dropUnsent(a)
	}
	l.replan = true
	l.settled(j)
}

// settled forgets a job that is over and has no task anywhere.
func (l *Leader) settled(j *job) {
	if !j.over() || len(j.tasks) > 0 || l.jobs[j.id] != j {
		return
	}
	if j.final && !j.cancelled && j.revision != 0 {
		return // its record is still to be written
	}
	delete(l.jobs, j.id)
	delete(l.queued, j)
	l.uncovered = true
	l.Counts.drop(j.id)
}

// show publishes a job's counts when they have changed.
func (l *Leader) show(j *job) {
	c := jobs.Counts{Done: j.doneCount, Running: j.running}
	if c != j.shown || c == (jobs.Counts{}) {
		j.shown = c
		l.Counts.set(j.id, c)
	}
}
