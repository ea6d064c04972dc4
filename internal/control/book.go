package control

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"

	jsonv2 "github.com/go-json-experiment/json"

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
	leastCarry = 4  // or this many assignments, where pages are small
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

// taskRecord is one assignment. Its attempt is unique among all tasks. Workers
// know the tasks of a gang by a number that they have in common.
type taskRecord struct {
	Job     string `json:"j"`
	N       int    `json:"n"`
	Attempt uint64 `json:"a"`
	Gang    uint64 `json:"g,omitempty"`
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
	bytes int // as it stands there
	begun map[uint64]*assignment
	done  map[chunkRef]bool
}

func newPage(key string, mark uint64) *page {
	return &page{key: key, mark: mark, begun: map[uint64]*assignment{}, done: map[chunkRef]bool{}}
}

// book is the ring, the oldest page first.
type book struct {
	pages  []*page
	keys   map[string]bool // of all pages
	number uint64          // of the newest page
	most   int             // bytes on a page
	carry  float64         // what pages have carried along lately, in bytes
	again  int             // pages that the next transaction has to write once more
	open   bool            // the outcome of an earlier transaction is not known

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

// news tells whether there is anything new to be written.
func (k *book) news() bool {
	return len(k.begins)+len(k.ends)+len(k.chunks)+len(k.deaths) > 0
}

// waiting tells whether anything is to be written.
func (k *book) waiting() bool { return k.again > 0 || k.news() }

// blank makes a page that was never written. Names leave no gaps, as a version
// before this one names the next page by the length of the ring.
func (k *book) blank() *page {
	if k.keys == nil {
		k.keys = map[string]bool{}
	}
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s%d", bookPrefix, i); !k.keys[key] {
			k.keys[key] = true
			return newPage(key, 0)
		}
	}
}

// grow makes the ring longer where pages carry too much. An empty page is the
// oldest: it is written next. While the outcome of a transaction is open the
// pages that it wrote must be the next again.
func (k *book) grow(most int) {
	limit := float64(max(k.most/carryShare, leastCarry*usualBytes))
	for ; k.again == 0 && k.carry > limit && most > 0; most-- {
		blank := 0
		for blank < len(k.pages) && k.pages[blank].mark == 0 {
			blank++
		}
		k.pages = slices.Insert(k.pages, blank, k.blank())
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

// Bytes of the parts of a page, but for names and numbers.
const (
	pageBytes  = len(`{"number":18446744073709551615,"begun":[],"over":[],"done":[],"dead":[]}`)
	beginBytes = len(`{"m":"","addr":"","type":"","zone":"","spot":true,"session":,"tasks":[]},`)
	taskBytes  = len(`{"j":"","n":,"a":,"g":},`)
	chunkBytes = len(`{"j":"","c":,"b":""},`)
	usualBytes = 2 * (beginBytes + taskBytes) // of an assignment with its names
)

// textBytes is how long a text is in JSON, without its quotes.
func textBytes(s string) (n int) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += len(`\u0000`)
		} else {
			n++
		}
	}
	return n
}

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

func taskSize(a *assignment) int {
	return taskBytes + textBytes(a.job.id) + digits(uint64(a.n)) + digits(a.attempt) + digits(a.gang)
}

func beginSize(a *assignment) int {
	m := a.m
	return beginBytes + textBytes(m.id) + textBytes(m.addr) + textBytes(m.typ) + textBytes(m.zone) + digits(a.session) + taskSize(a)
}

func overSize(a *assignment) int { return digits(a.attempt) + 1 }

func chunkSize(ref chunkRef, bits string) int {
	return chunkBytes + textBytes(ref.j.id) + digits(uint64(ref.c)) + len(bits)
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
		d.size += taskSize(a)
	}
	d.rec.Begun[i].Tasks = append(d.rec.Begun[i].Tasks, taskRecord{a.job.id, a.n, a.attempt, a.gang})
	d.kept = append(d.kept, a)
}

func (d *draft) chunk(ref chunkRef, bits string) {
	d.rec.Done = append(d.rec.Done, doneRecord{ref.j.id, ref.c, bits})
	d.size += chunkSize(ref, bits)
	d.done = append(d.done, ref)
}

// carry puts on a draft what is still true of a page, or as much of it as fits
// within so many bytes.
func (l *Leader) carry(b *batch, d *draft, p *page, most int) {
	for _, attempt := range sorted(p.begun) {
		a := p.begun[attempt]
		switch {
		case a.closing || a.moving || l.recordable(b, a):
		case d.size+beginSize(a) <= most:
			d.begin(a)
		}
	}
	for ref := range p.done {
		ch := ref.j.chunks[ref.c]
		if ch == nil || ch.home != p || ch.moving || ref.j.over() {
			continue
		}
		bits := ref.j.chunkBits(ref.c, l.Derived.ChunkTasks)
		switch size := chunkSize(ref, bits); {
		case pageBytes+size > l.book.most:
			ch.saved = false // no page holds it any more: see fill
		case d.size+size <= most:
			d.chunk(ref, bits)
		}
	}
}

// heavy tells whether what stands on a page may be more than can be written at a
// time: it is from before the state service's limits fell, or were to fall. What
// is over by now counts as well: should the transaction fail, its end may have to
// wait for the next.
func (l *Leader) heavy(p *page) bool {
	if p.bytes <= l.book.most {
		return false
	}
	d := &draft{size: pageBytes, at: map[*machine]int{}}
	for _, a := range p.begun {
		if !a.moving {
			d.begin(a)
		}
	}
	for ref := range p.done {
		if ch := ref.j.chunks[ref.c]; ch != nil && ch.home == p && !ch.moving {
			d.size += chunkSize(ref, ref.j.chunkBits(ref.c, l.Derived.ChunkTasks))
		}
	}
	return d.size > l.book.most*7/8
}

// ease moves a part of the first heavy page behind the i-th onward to a draft. It
// is written over only when the rest fits: until then it stays the oldest, so that
// the ends of what was moved, which are on later pages, outlast it.
func (l *Leader) ease(b *batch, d *draft, i int) {
	for _, p := range l.book.pages[i+1 : min(i+1+l.Derived.TxnOps, len(l.book.pages))] {
		if len(p.begun)+len(p.done) == 0 {
			continue // never written, or outcome open
		}
		if l.heavy(p) {
			kept, done := len(d.kept), len(d.done)
			if l.carry(b, d, p, d.most/2); len(d.kept)+len(d.done) == 0 {
				l.carry(b, d, p, d.most) // what takes more than half of a page
			}
			for _, a := range d.kept[kept:] {
				a.moving = true
			}
			for _, ref := range d.done[done:] {
				ref.j.chunks[ref.c].moving = true
			}
		}
		return
	}
}

// addPage writes the i-th oldest page: what is still true of it, then what is
// new, as far as there is room for it. In front of a heavy page it adds one.
func (l *Leader) addPage(b *batch, i int, fresh bool) {
	k := &l.book
	if i >= k.again && l.heavy(k.pages[i]) {
		k.pages = slices.Insert(k.pages, i, k.blank())
	}
	p := k.pages[i]
	d := &draft{rec: pageRecord{Number: k.number + uint64(i) + 1}, size: pageBytes, most: min(k.most, txnBytes-b.bytes), at: map[*machine]int{}}
	for _, attempt := range sorted(p.begun) {
		if a := p.begun[attempt]; !a.closing && l.recordable(b, a) {
			// Its beginning stood here only, so that nothing needs to be said.
			a.closing = true
			d.gone = append(d.gone, a)
		}
	}
	l.carry(b, d, p, math.MaxInt)
	k.carry += (float64(d.size-pageBytes) - k.carry) / float64(len(k.pages))
	l.ease(b, d, i)
	if fresh {
		l.fill(b, d)
	}
	raw, _ := json.Marshal(d.rec)
	b.add(p.key, p.mark, raw, func(mark uint64) { p.mark = mark })
	b.undo = append(b.undo, func() { k.takeBack(l, d) })
	b.done = append(b.done, func(rev uint64) { p.bytes = len(raw); l.paged(p, d, rev) })
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
			if size := chunkSize(ref, bits); pageBytes+size > k.most {
				// No page holds it. Its tasks' ends wait for that of the job: their
				// workers keep saying that they are done.
				if !ch.large {
					slog.Error("completions larger than a page", "job", ref.j.id, "bytes", size, "most", k.most)
				}
				ch.large, ch.dirty = true, false
				k.chunks = k.chunks[1:]
				continue
			} else if !d.fits(size) {
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
		case d.fits(overSize(a)) && l.recordable(b, a):
			a.closing, a.ending = true, false
			if a.home != nil {
				d.rec.Over = append(d.rec.Over, a.attempt)
				d.size += overSize(a)
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
	for _, a := range d.kept {
		a.moving = false
	}
	for _, ref := range d.done {
		ref.j.chunks[ref.c].moving = false
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
		if a.home != nil && a.home != p {
			delete(a.home.begun, a.attempt)
		}
		p.begun[a.attempt] = a
		a.home, a.moving = p, false
		if !a.durable {
			a.durable = true
			if a.job.isGang() {
				l.gangWritten(a.job)
			} else {
				l.poke(a.m)
			}
		}
	}
	for _, ref := range d.done {
		p.done[ref] = true
		if ch := ref.j.chunks[ref.c]; ch != nil {
			ch.home, ch.moving = p, false
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
	k.again, k.open = 0, false
}

// readBook puts the pages in order. What each says is for the caller.
func (l *Leader) readBook(pairs []state.Pair) []pageRecord {
	type read struct {
		p   *page
		rec pageRecord
	}
	var all []read
	k := &l.book
	*k = book{most: min(l.Derived.ValueBytes, txnBytes/2) * 15 / 16, keys: map[string]bool{}}
	for _, pair := range pairs {
		r := read{p: newPage(pair.Key, pair.Mark)}
		r.p.bytes = len(pair.Value)
		k.keys[pair.Key] = true
		if err := jsonv2.Unmarshal(pair.Value, &r.rec); err != nil {
			slog.Error("page of the book unreadable", "key", pair.Key, "reason", err)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b read) int { return cmp.Compare(a.rec.Number, b.rec.Number) })
	for len(k.pages)+len(all) < leastPages {
		k.pages = append(k.pages, k.blank())
	}
	var recs []pageRecord
	for _, r := range all {
		k.pages = append(k.pages, r.p)
		k.number = max(k.number, r.rec.Number)
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
