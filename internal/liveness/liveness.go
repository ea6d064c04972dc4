// Package liveness decides which machines are dead. It follows the article
// that docs/design.md names: a machine that looks dead is called first, a
// counter ahead of the picture holds all verdicts, and verdicts stop while
// every zone looks dead. It does no I/O and reads no clock.
package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the periods, all derived from the settings.
type Config struct {
	SilentFor time.Duration // unheard for so long, a machine looks dead
	LeaseOver time.Duration // by then a worker has ended its tasks by itself
	HoldGrace time.Duration // how long one floor holds all verdicts
	Gap       time.Duration // between two verdicts in a zone of up to ZoneSize machines; larger ones have more in it
	ZoneSize  int
	// A machine whose report is overdue, or of whose zone nobody is heard, is
	// called before it has been silent for as long as SilentFor.
	Overdue, GroupSilent time.Duration
	// Weight tells how much depends on a machine: the more, the earlier its turn to
	// be called and judged. Nil takes all for equal.
	Weight func(id string) int
}

// Counter orders the messages of one worker.
type Counter struct{ Session, Seq uint64 }

// Before tells whether c is older than d.
func (c Counter) Before(d Counter) bool {
	return c.Session < d.Session || c.Session == d.Session && c.Seq < d.Seq
}

// Reason says why a machine was judged dead.
type Reason string

// The reasons of verdicts.
const (
	CallFailed Reason = "call failed"
	NoNewer    Reason = "no report missed"
	ReportsLag Reason = "reports stay away"
)

// Verdict is a confirmed death.
type Verdict struct {
	Machine string
	Reason  Reason
}

type machine struct {
	id          string
	at          int // index into Watch.all
	zone        *zone
	heard       time.Time // when its last report came
	known       Counter   // of the newest message seen
	calls       uint64    // calls sent since then: each raises the counter once
	synced      bool      // has reported to this leader
	calling     bool
	callAfter   time.Time // one answer is enough for a while
	confirmed   Reason    // set: dead, the verdict awaits its turn
	since       time.Time // when it was confirmed
	judged      bool      // the verdict is out
	floor       Counter   // set: the report that ends the hold
	holdUntil   time.Time // a floor holds no longer than this
	lagging     bool      // a hold ran out on it; it may not cause another
	suspect     bool      // there are signs that it is gone: it is called before it falls silent
	unreachable bool      // its reports arrive, but it does not hear us
}

// zone is what the machines of one zone have in common.
type zone struct {
	machines    int       // in the picture
	heard       time.Time // the last report of any machine that was in it
	silentSince time.Time // set while nobody of it is heard
	pacer       *Pacer    // of its verdicts; nil before the first
}

// Watch keeps the picture of all machines. One goroutine owns it.
type Watch struct {
	cfg       Config
	machines  map[string]*machine
	all       []*machine // the same: each tick goes through them
	zones     map[string]*zone
	disrupted bool
	lastHeard time.Time // the last report of any machine
}

// New makes an empty picture.
func New(cfg Config) *Watch {
	return &Watch{cfg: cfg, machines: map[string]*machine{}, zones: map[string]*zone{}}
}

func (w *Watch) zone(name string) *zone {
	z := w.zones[name]
	if z == nil {
		z = &zone{}
		w.zones[name] = z
	}
	return z
}

func (w *Watch) add(id, zone string) *machine {
	m := &machine{id: id, at: len(w.all), zone: w.zone(zone)}
	m.zone.machines++
	w.machines[id] = m
	w.all = append(w.all, m)
	return m
}

func (w *Watch) move(m *machine, z *zone) {
	m.zone.machines--
	m.zone = z
	z.machines++
}

// Restore adds a machine that an earlier leader knew. It is unsynced: until it
// reports, or until its lease must have run out, nothing is judged.
func (w *Watch) Restore(id, zone string, now time.Time) {
	if _, ok := w.machines[id]; !ok {
		w.add(id, zone).heard = now
	}
}

// Forget drops a machine that is gone.
func (w *Watch) Forget(id string) {
	m := w.machines[id]
	if m == nil {
		return
	}
	m.zone.machines--
	delete(w.machines, id)
	last := w.all[len(w.all)-1]
	w.all[m.at], last.at = last, m.at
	w.all = w.all[:len(w.all)-1]
}

// Heard takes in a report. Old copies that were held up on the way change
// nothing: they do not show that the machine is alive now.
func (w *Watch) Heard(id, zone string, c Counter, now time.Time) {
	m := w.machines[id]
	if m == nil {
		m = w.add(id, zone)
	} else if m.synced && !m.known.Before(c) {
		return
	}
	if m.floor != (Counter{}) && !c.Before(m.floor) {
		m.floor = Counter{}
	}
	if z := w.zone(zone); z != m.zone {
		w.move(m, z)
	}
	m.heard, m.known, m.calls = now, c, 0
	w.lastHeard = now
	m.zone.heard, m.zone.silentSince = now, time.Time{}
	m.synced, m.lagging, m.suspect = true, false, false
	if !m.unreachable {
		m.judged, m.confirmed = false, ""
	}
	if w.disrupted {
		w.leaveDisruption(now)
	}
}

// Answered takes in a worker's answer to an order: a newer picture, but no
// report, so that the machine is not heard by it.
func (w *Watch) Answered(id string, c Counter) {
	if m := w.machines[id]; m != nil && m.known.Before(c) {
		m.known, m.calls = c, 0
	}
}

// Called notes that an order was sent: if it arrives, it raises the counter,
// whether or not its answer does.
func (w *Watch) Called(id string) {
	if m := w.machines[id]; m != nil {
		m.calls++
	}
}

// Suspect takes in a sign that a machine is gone, such as that the cloud lists it
// no more. It is called at once; only a call that fails confirms anything.
func (w *Watch) Suspect(id string) {
	if m := w.machines[id]; m != nil && m.synced {
		m.suspect = true
	}
}

// Unreachable takes in that a machine's reports arrive but our answers do not. It does
// not look healthy by its reports any more, until something reaches it again.
func (w *Watch) Unreachable(id string) {
	if m := w.machines[id]; m != nil {
		m.unreachable = true
	}
}

// Reachable takes in that something has reached a machine.
func (w *Watch) Reachable(id string) {
	if m := w.machines[id]; m != nil && m.unreachable {
		m.unreachable, m.judged, m.confirmed = false, false, ""
	}
}

// Judged tells whether a machine's death has been decided.
func (w *Watch) Judged(id string) bool {
	m := w.machines[id]
	return m != nil && m.judged
}

// Placeable tells whether work may go to a machine: it has reported to this
// leader and is neither silent, dead nor lagging.
func (w *Watch) Placeable(id string, now time.Time) bool {
	m := w.machines[id]
	return m != nil && m.synced && !m.judged && !m.lagging && m.confirmed == "" && !w.looksDead(m, now)
}

// Held tells whether a floor holds all verdicts.
func (w *Watch) Held(now time.Time) bool {
	for _, m := range w.all {
		if m.floor != (Counter{}) && now.Before(m.holdUntil) {
			return true
		}
	}
	return false
}

// Disrupted tells whether every zone looks dead.
func (w *Watch) Disrupted() bool { return w.disrupted }

func (w *Watch) silent(m *machine, now time.Time) bool {
	limit := w.cfg.SilentFor
	if !m.synced {
		limit = w.cfg.LeaseOver
	}
	return now.Sub(m.heard) > limit
}

// looksDead tells whether a machine is to be called.
func (w *Watch) looksDead(m *machine, now time.Time) bool {
	return m.suspect || m.unreachable || w.silent(m, now)
}

// leastGroup is how many machines a zone needs for its silence to say more than
// that of each: the periods of a few may fall together.
const leastGroup = 4

// silentGroup tells whether so many machines have been unheard for so long that what
// lies between them and us, or all of them, must be gone.
func (w *Watch) silentGroup(machines int, heard, now time.Time) bool {
	return w.cfg.GroupSilent > 0 && machines >= leastGroup && !heard.IsZero() && now.Sub(heard) > w.cfg.GroupSilent
}

// ZoneSilent tells whether a zone fell silent within the last while and nobody in it
// has been heard since, even if all its machines were given back.
func (w *Watch) ZoneSilent(zone string, now time.Time, while time.Duration) bool {
	z := w.zones[zone]
	return z != nil && !z.silentSince.IsZero() && now.Sub(z.silentSince) < while
}

// missed tells whether a report that should have come did not. That alone says
// little; the machine is called.
func (w *Watch) missed(m *machine, now time.Time) bool {
	return m.synced && (w.cfg.Overdue > 0 && now.Sub(m.heard) > w.cfg.Overdue || w.silentGroup(m.zone.machines, m.zone.heard, now))
}

// Tick returns the machines to call now, as many as may be, and the verdicts to
// carry out.
func (w *Watch) Tick(now time.Time, most int) (calls []string, verdicts []Verdict) {
	if !w.disrupted && (w.allSilent(now) || w.silentGroup(len(w.all), w.lastHeard, now)) {
		w.disrupted = true
		w.setPace(1, 0, now)
	}
	for _, z := range w.zones {
		if z.silentSince.IsZero() && w.silentGroup(z.machines, z.heard, now) {
			z.silentSince = now
		}
	}
	held := false
	var ids []string
	for _, m := range w.all {
		m.suspect = m.suspect || w.missed(m, now)
		if !m.judged && !m.calling && w.looksDead(m, now) {
			ids = append(ids, m.id)
		}
		if m.floor == (Counter{}) {
			continue
		}
		if now.Before(m.holdUntil) {
			held = true
			continue
		}
		// The grace is over and the report never came: this machine's lag says
		// nothing about the others, and it may not hold them up again.
		m.floor, m.lagging = Counter{}, true
	}
	w.order(ids)
	for _, id := range ids {
		m := w.machines[id]
		if m.confirmed == "" {
			if now.Before(m.callAfter) || len(calls) >= most {
				continue
			}
			m.calling = true
			m.calls++
			calls = append(calls, id)
			continue
		}
		// A leader that has just lost its connection finds machine after machine
		// silent before it finds all of them so. A report that comes after the
		// confirmation shows that it still hears anything at all.
		if held || w.disrupted || !w.lastHeard.After(m.since) || !w.pacer(m.zone, now).Allow(now) {
			continue
		}
		m.judged = true
		verdicts = append(verdicts, Verdict{id, m.confirmed})
	}
	return calls, verdicts
}

// order puts the machines on which most depends first.
func (w *Watch) order(ids []string) {
	weights := make(map[string]int, len(ids))
	for _, id := range ids {
		if w.cfg.Weight != nil {
			weights[id] = w.cfg.Weight(id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

// CallDone takes in the outcome of a call that Tick asked for.
func (w *Watch) CallDone(id string, ok bool, c Counter, now time.Time) {
	m := w.machines[id]
	if m == nil || !m.calling {
		return
	}
	m.calling = false
	if !w.looksDead(m, now) {
		return // it reported meanwhile
	}
	if !ok {
		m.floor = Counter{}
		m.confirmed, m.since = CallFailed, now
		return
	}
	m.suspect = false
	w.Reachable(id)
	if !w.silent(m, now) {
		if m.known.Before(c) {
			m.known, m.calls = c, 0
		}
		m.callAfter = now.Add(w.cfg.HoldGrace / 2)
		return // alive, whatever the signs were
	}
	// Each call of ours that arrived raised the counter by one, this one too.
	// What is beyond them are reports that we have missed: our picture lags,
	// and it may lag for every machine.
	expected := Counter{m.known.Session, m.known.Seq + m.calls}
	ahead := m.synced && expected.Before(c)
	// The answer is a newer picture, so that our next calls are counted from
	// it. The floor is the last report before it, set once for a hold: were it
	// raised by our own calls, the hold would feed itself.
	if m.known.Before(c) {
		m.known, m.calls = c, 0
	}
	switch {
	case ahead && !m.lagging:
		if m.floor == (Counter{}) {
			m.floor = c
			m.holdUntil = now.Add(w.cfg.HoldGrace)
		}
		m.callAfter = now.Add(w.cfg.HoldGrace / 2)
	case m.lagging:
		m.confirmed, m.since = ReportsLag, now
	default:
		m.confirmed, m.since = NoNewer, now
	}
}

// pacer returns a zone's pacer. The share of a zone that may be given up in a
// given time is much the same, however large it is.
func (w *Watch) pacer(z *zone, now time.Time) *Pacer {
	each := max(1, z.machines/max(1, w.cfg.ZoneSize))
	if z.pacer == nil {
		z.pacer = NewPacer(each, w.cfg.Gap)
	}
	z.pacer.Swap(each, w.cfg.Gap, now)
	return z.pacer
}

// setPace changes the pace of all zones that have had a verdict.
func (w *Watch) setPace(each int, gap time.Duration, now time.Time) {
	for _, z := range w.zones {
		if z.pacer != nil {
			z.pacer.Swap(each, gap, now)
		}
	}
}

// allSilent tells whether every machine of every zone looks dead.
func (w *Watch) allSilent(now time.Time) bool {
	if len(w.all) == 0 {
		return false
	}
	for _, m := range w.all {
		if !w.silent(m, now) {
			return false
		}
	}
	return true
}

// leaveDisruption starts afresh: what was silent for lack of any connection
// must not look dead at once.
func (w *Watch) leaveDisruption(now time.Time) {
	w.disrupted = false
	for _, z := range w.zones {
		if !z.heard.IsZero() { // nothing was ever heard of the others
			z.heard = now
		}
	}
	for _, m := range w.all {
		m.heard, m.confirmed, m.suspect = now, "", false
	}
	w.setPace(1, w.cfg.Gap, now) // and to the pace of its size with the next verdict
}
