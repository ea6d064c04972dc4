package control

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/state"
)

// bookPrefix holds the leader's book: which tasks are, or may be, on which
// machines, and which tasks of unfinished jobs are done.
//
// The book is a ring of pages. A transaction writes what is new over the oldest
// page and carries along what is still true of that: so one change holds the
// starts and ends of many machines, and what a new leader has to read is bounded.
// Read in the order of their numbers, later pages overrule earlier ones.
const bookPrefix = "book/"

const (
	leastPages = 16 // pages of a new book
	carryShare = 8  // a page is meant to carry no more than such a part of what it can hold
)

// pageRecord is one page in the state service.
type pageRecord struct {
	Number uint64        `json:"number"`
	Begun  []begunRecord `json:"begun,omitempty"`
	Over   []uint64      `json:"over,omitempty"` // attempts begun on earlier pages
	Done   []doneRecord  `json:"done,omitempty"`
	Dead   []string      `json:"dead,omitempty"` // machines judged since
}

// begunRecord is the tasks that were given to one machine in one session.
type begunRecord struct {
	Machine string       `json:"m"`
	Addr    string       `json:"addr"`
	Type    string       `json:"type"`
	Zone    string       `json:"zone"`
	Spot    bool         `json:"spot,omitempty"`
	Session uint64       `json:"session"`
	Tasks   []taskRecord `json:"tasks"`
}

// taskRecord is one assignment. Its attempt is unique among all tasks.
type taskRecord struct {
	Job     string `json:"j"`
	N       int    `json:"n"`
	Attempt uint64 `json:"a"`
}

// doneRecord is the completions of one chunk of a job's tasks.
type doneRecord struct {
	Job   string `json:"j"`
	Chunk int    `json:"c"`
	Bits  string `json:"b"`
}

// page is one page's place in the ring and what is on it that may still be true.
type page struct {
	key   string
	mark  uint64
	begun map[uint64]*assignment
	done  map[chunkRef]bool
}

func newPage(i int, mark uint64) *page {
	return &page{key: fmt.Sprintf("%s%d", bookPrefix, i), mark: mark, begun: map[uint64]*assignment{}, done: map[chunkRef]bool{}}
}

// book is the ring, the oldest page first.
type book struct {
	pages  []*page
	number uint64  // of the newest page
	most   int     // bytes on a page
	carry  float64 // what pages have carried along lately, in bytes
	again  int     // pages that the next transaction has to write once more

	begins []*assignment // to be written
	ends   []*assignment
	chunks []chunkRef
	deaths []string
}

// end queues an assignment that is over.
func (k *book) end(a *assignment) {
	if !a.ending {
		a.ending = true
		k.ends = append(k.ends, a)
	}
}

// waiting tells whether anything is to be written.
func (k *book) waiting() bool {
	return k.again > 0 || len(k.begins)+len(k.ends)+len(k.chunks)+len(k.deaths) > 0
}

// grow makes the ring longer where pages carry too much. An empty page is the
// oldest: it is written next. While the outcome of a transaction is open the
// pages that it wrote must be the next again.
func (k *book) grow() {
	if k.again == 0 && k.carry > float64(k.most/carryShare) {
		k.pages = slices.Insert(k.pages, 0, newPage(len(k.pages), 0))
		k.carry *= float64(len(k.pages)-1) / float64(len(k.pages))
	}
}

// draft is a page being put together.
type draft struct {
	rec   pageRecord
	size  int
	most  int
	at    map[*machine]int // index into rec.Begun, by machine and session
	kept  []*assignment    // begun on this page
	gone  []*assignment    // over with this page
	done  []chunkRef
	fresh struct { // taken from the queues, to go back there if nothing is written
		begins []*assignment
		chunks []chunkRef
		deaths []string
	}
}

func (d *draft) fits(bytes int) bool { return d.size+bytes <= d.most }

// Bytes of the parts of a page, at most.
const (
	overBytes  = 21
	taskBytes  = 56
	beginBytes = 120
	chunkBytes = 32
)

func beginSize(a *assignment) int {
	return beginBytes + len(a.m.id) + len(a.m.addr) + len(a.m.typ) + len(a.m.zone) + taskBytes + len(a.job.id)
}

func (d *draft) begin(a *assignment) {
	i, ok := d.at[a.m]
	if !ok || d.rec.Begun[i].Session != a.session {
		i = len(d.rec.Begun)
		d.at[a.m] = i
		m := a.m
		d.rec.Begun = append(d.rec.Begun, begunRecord{Machine: m.id, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, Session: a.session})
		d.size += beginSize(a)
	} else {
		d.size += taskBytes + len(a.job.id)
	}
	d.rec.Begun[i].Tasks = append(d.rec.Begun[i].Tasks, taskRecord{a.job.id, a.n, a.attempt})
	d.kept = append(d.kept, a)
}

func (d *draft) chunk(ref chunkRef, bits string) {
	d.rec.Done = append(d.rec.Done, doneRecord{ref.j.id, ref.c, bits})
	d.size += chunkBytes + len(ref.j.id) + len(bits)
	d.done = append(d.done, ref)
}

// addPage writes the i-th oldest page: what is still true of it, then what is
// new, as far as there is room for it.
func (l *Leader) addPage(b *batch, i int, fresh bool) {
	k := &l.book
	p := k.pages[i]
	d := &draft{rec: pageRecord{Number: k.number + uint64(i) + 1}, most: min(k.most, txnBytes-b.bytes), at: map[*machine]int{}}
	for _, attempt := range sorted(p.begun) {
		a := p.begun[attempt]
		switch {
		case a.closing:
		case l.recordable(b, a):
			// Its beginning stood here only, so that nothing needs to be said.
			a.closing = true
			d.gone = append(d.gone, a)
		default:
			d.begin(a)
		}
	}
	for ref := range p.done {
		if ch := ref.j.chunks[ref.c]; ch != nil && ch.home == p && !ref.j.over() {
			d.chunk(ref, ref.j.chunkBits(ref.c, l.Derived.ChunkTasks))
		}
	}
	k.carry += (float64(d.size) - k.carry) / float64(len(k.pages))
	if fresh {
		l.fill(b, d)
	}
	raw, _ := json.Marshal(d.rec)
	b.add(p.key, p.mark, raw, func(mark uint64) { p.mark = mark })
	b.undo = append(b.undo, func() { k.takeBack(l, d) })
	b.done = append(b.done, func(rev uint64) { l.paged(p, d, rev) })
}

// fill adds what is new. Completions go before the ends that rest on them.
func (l *Leader) fill(b *batch, d *draft) {
	k := &l.book
	for len(k.deaths) > 0 && d.fits(len(k.deaths[0])+3) {
		d.rec.Dead = append(d.rec.Dead, k.deaths[0])
		d.size += len(k.deaths[0]) + 3
		d.fresh.deaths = append(d.fresh.deaths, k.deaths[0])
		k.deaths = k.deaths[1:]
	}
	for len(k.chunks) > 0 {
		ref := k.chunks[0]
		ch := ref.j.chunks[ref.c]
		if !ref.j.over() { // else the record of the job's end takes its place
			bits := ref.j.chunkBits(ref.c, l.Derived.ChunkTasks)
			if !d.fits(chunkBytes + len(ref.j.id) + len(bits)) {
				break
			}
			d.chunk(ref, bits)
			d.fresh.chunks = append(d.fresh.chunks, ref)
			// As far as this transaction goes: chunkDirty takes it back if it
			// fails, or if more tasks complete meanwhile.
			ch.saved = true
		}
		ch.dirty = false
		k.chunks = k.chunks[1:]
	}
	later := k.ends[:0]
	for _, a := range k.ends {
		switch {
		case a.closing: // its page is written anew, without it
			a.ending = false
		case d.fits(overBytes) && l.recordable(b, a):
			a.closing, a.ending = true, false
			if a.home != nil {
				d.rec.Over = append(d.rec.Over, a.attempt)
				d.size += overBytes
			}
			d.gone = append(d.gone, a)
		default:
			later = append(later, a)
		}
	}
	clear(k.ends[len(later):])
	k.ends = later
	for len(k.begins) > 0 && d.fits(beginSize(k.begins[0])) {
		a := k.begins[0]
		k.begins = k.begins[1:]
		if a.outcome == open {
			d.begin(a)
			d.fresh.begins = append(d.fresh.begins, a)
		}
	}
}

// recordable tells whether an assignment's end may be written: the completion of
// its task has to be durable with it.
func (l *Leader) recordable(b *batch, a *assignment) bool {
	return a.outcome == retry || a.outcome == success && l.completionSaved(b, a)
}

// takeBack queues what a transaction that failed should have written.
func (k *book) takeBack(l *Leader, d *draft) {
	k.begins = append(d.fresh.begins, k.begins...)
	k.deaths = append(d.fresh.deaths, k.deaths...)
	for _, a := range d.gone {
		a.closing = false
		k.end(a)
	}
	for _, ref := range d.fresh.chunks {
		l.chunkDirty(ref.j, ref.c)
	}
}

// paged takes in that a page was written.
func (l *Leader) paged(p *page, d *draft, rev uint64) {
	p.mark = rev
	clear(p.begun)
	clear(p.done)
	for _, a := range d.kept {
		p.begun[a.attempt] = a
		a.home = p
		if !a.durable {
			a.durable = true
			l.poke(a.m)
		}
	}
	for _, ref := range d.done {
		p.done[ref] = true
		if ch := ref.j.chunks[ref.c]; ch != nil {
			ch.home = p
		}
	}
	for _, a := range d.gone {
		if a.home != nil {
			delete(a.home.begun, a.attempt)
		}
		l.forget(a)
	}
}

// turn makes the pages just written the newest.
func (k *book) turn(n int) {
	k.number += uint64(n)
	k.pages = append(k.pages[n:], k.pages[:n]...)
	k.again = 0
}

// readBook puts the pages in order. What each says is for the caller.
func (l *Leader) readBook(pairs []state.Pair) []pageRecord {
	type read struct {
		p   *page
		rec pageRecord
	}
	var all []read
	used := map[string]bool{}
	for _, pair := range pairs {
		r := read{p: newPage(0, pair.Mark)}
		r.p.key = pair.Key
		used[pair.Key] = true
		if err := json.Unmarshal(pair.Value, &r.rec); err != nil {
			slog.Error("page of the book unreadable", "key", pair.Key, "reason", err)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b read) int { return cmp.Compare(a.rec.Number, b.rec.Number) })
	l.book = book{most: min(l.Derived.ValueBytes, txnBytes/2) * 15 / 16}
	for i := 0; len(l.book.pages)+len(all) < leastPages; i++ {
		if p := newPage(i, 0); !used[p.key] {
			l.book.pages = append(l.book.pages, p)
		}
	}
	var recs []pageRecord
	for _, r := range all {
		l.book.pages = append(l.book.pages, r.p)
		l.book.number = max(l.book.number, r.rec.Number)
		recs = append(recs, r.rec)
	}
	return recs
}

// chunkBits packs the completions of one chunk of tasks.
func (j *job) chunkBits(c, size int) string {
	lo, hi := c*size/64, min((c+1)*size/64, len(j.done))
	buf := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.done[lo:hi] {
		for b := 0; b < 8; b++ {
			buf = append(buf, byte(w>>(8*b)))
		}
	}
	return base64.StdEncoding.EncodeToString([]byte(strings.TrimRight(string(buf), "\x00")))
}

// loadChunk takes in the completions that an earlier leader wrote.
func (j *job) loadChunk(c, size int, bits string) error {
	buf, err := base64.StdEncoding.DecodeString(bits)
	if err != nil {
		return err
	}
	for i, b := range buf {
		for n := range 8 {
			if task := c*size + 8*i + n; b&(1<<n) != 0 && task < j.spec.Tasks {
				j.setDone(task)
			}
		}
	}
	return nil
}

func sorted(m map[uint64]*assignment) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// completionSaved tells whether a completion is durable, or goes into the
// transaction that is being put together.
func (l *Leader) completionSaved(b *batch, a *assignment) bool {
	j := a.job
	if j.cancelled || j.final && j.mark == 0 {
		return true
	}
	if _, ok := b.marks[jobs.RecordKey(j.id)]; ok {
		return true
	}
	ch := j.chunks[a.n/l.Derived.ChunkTasks]
	return ch != nil && ch.saved
}
