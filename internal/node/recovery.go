package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/control"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/loss"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
)

// lossQueue is how much evidence waits to be handed on. More tells nothing new.
const lossQueue = 64

// lossDesk hands evidence of lost records to the leader, and answers the leader's
// questions for what this node knows.
type lossDesk struct {
	noticed chan loss.Loss
	told    time.Time   // when the leader was last told, owned by the duty
	unsure  atomic.Bool // the leader says that records are being compared

	mu     sync.Mutex
	round  uint64 // of comparison, the last that was asked about
	ticket uint64 // of this node's own comparison in it
}

func newLossDesk() *lossDesk { return &lossDesk{noticed: make(chan loss.Loss, lossQueue)} }

// notice takes in evidence. It is called in the midst of other duties and never waits.
func (d *lossDesk) notice(l loss.Loss) {
	select {
	case d.noticed <- l:
	default:
	}
}

// tellLosses hands evidence on until the context ends.
func (n *Node) tellLosses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-n.losses.noticed:
			n.tellLoss(l)
		}
	}
}

// tellLoss hands evidence to the leader, here or elsewhere. Another is told once in a
// while only: it compares all records anyway.
func (n *Node) tellLoss(l loss.Loss) {
	if n.gate.Noticed(l) {
		return
	}
	n.cache.Suspect(time.Now().Add(n.d.Cancel))
	leader := n.keeper.Leader()
	if leader == "" || leader == n.set.Node || time.Since(n.losses.told) < n.d.TermLease {
		return
	}
	n.losses.told = time.Now()
	n.hub.NotifyLoss(leader, l)
}

// lostPage answers the leader's question for jobs of which this node knows more than the
// state service. In a new round, all records are compared with that first.
func (n *Node) lostPage(q peer.Question) peer.LostPage {
	if q.Round == 0 {
		return peer.LostPage{Ready: true, Known: n.cache.Jobs(), Newest: n.cache.Newest(), Noticed: n.cache.Suspected() || n.cache.LostJobs() > 0}
	}
	n.losses.mu.Lock()
	if n.losses.round != q.Round {
		n.losses.round, n.losses.ticket = q.Round, n.cache.Verify()
	}
	ticket := n.losses.ticket
	n.losses.mu.Unlock()
	if !n.cache.Verified(ticket) {
		return peer.LostPage{}
	}
	lost, more := n.cache.Lost(q.After, lostRows)
	page := peer.LostPage{Ready: true, More: more}
	for _, l := range lost {
		page.Jobs = append(page.Jobs, peer.LostJob{ID: l.ID, State: l.State, Tasks: l.Tasks, Record: n.cache.Unfinished(l.ID)})
	}
	return page
}

// lostRows is how many lost jobs are in one answer to the leader.
const lostRows = 500

// leaderIsUnsure takes in whether the leader is comparing records.
func (n *Node) leaderIsUnsure(unsure, putBack bool) {
	n.cache.PutBack(putBack)
	was := n.losses.unsure.Swap(unsure)
	switch {
	case unsure:
		n.cache.Suspect(time.Now().Add(n.d.Cancel))
	case was || !n.cache.SawAll():
		n.cache.Compared()
	}
}

// becomeSure finds out, after a start, whether this node has begun with all records there
// were: all other controllers are asked how many jobs they know, and a reading of the records
// that begins after their answers must have as many. Where one does not answer, the leader's
// word does, or in the end the time that most outages last.
func (n *Node) becomeSure(ctx context.Context) {
	for time.Since(n.born) < n.d.Cancel && !n.cache.Settled() {
		if known, all := n.askOthers(ctx); all && n.cache.Listed() {
			n.cache.Expect(known, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.d.TermRenew / 2):
		}
	}
	n.cache.BeSure()
}

// askOthers asks all other controllers how many jobs they know, and tells whether all have
// answered and none has noticed a loss. Should the state service be at an older revision than
// one of them has read, it was put back.
func (n *Node) askOthers(ctx context.Context) (known int, all bool) {
	ctx, cancel := context.WithTimeout(ctx, n.d.TermRenew)
	defer cancel()
	newest := uint64(0)
	for _, name := range n.hub.Peers() {
		page, err := n.hub.AskLost(ctx, name, peer.Question{})
		switch {
		case err != nil:
			return 0, false
		case page.Noticed:
			n.losses.notice(loss.Loss{Kind: loss.ReportedByPeer, Key: name})
			return 0, false
		}
		known, newest = max(known, page.Known), max(newest, page.Newest)
	}
	now, err := n.store.Revision(ctx)
	if err != nil {
		return 0, false
	}
	if now < newest {
		n.losses.notice(loss.Loss{Kind: loss.RevisionBack, Known: newest, Found: now})
		return 0, false
	}
	return known, true
}

// recoveryHandlers serve operators: the state of a recovery, parts of a snapshot, and
// decisions about held jobs.
func (n *Node) recoveryHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /recovery", n.showRecovery)
	mux.HandleFunc("POST /recovery/import", n.importSnapshot)
	mux.HandleFunc("POST /recovery/settle", n.settle)
}

func (n *Node) showRecovery(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), n.d.UserWait)
	defer cancel()
	status, err := n.gate.Recovery(ctx)
	if errors.Is(err, control.ErrNotLeading) {
		writeJSON(w, http.StatusMisdirectedRequest, control.RecoveryStatus{Following: n.keeper.Leader()})
		return
	}
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// mostImport bounds what one request may make this node hold in memory.
const mostImport = 1 << 20

func (n *Node) importSnapshot(w http.ResponseWriter, r *http.Request) {
	var in control.Import
	if !readJSON(w, r, &in) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), n.d.UserWait)
	defer cancel()
	count, err := n.gate.Import(ctx, in)
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, count)
}

// Settle is an operator's decision about a held job.
type Settle struct {
	Job string              `json:"job"`
	As  recovery.Settlement `json:"as"`
}

func (n *Node) settle(w http.ResponseWriter, r *http.Request) {
	var in Settle
	if !readJSON(w, r, &in) {
		return
	}
	if !jobs.ValidID(in.Job) {
		writeError(w, http.StatusBadRequest, errors.New("job must be of the form j-000412"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), n.d.UserWait)
	defer cancel()
	if err := n.gate.Settle(ctx, in.Job, in.As); err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, in)
}

// statusOf is the status for an error of the leader.
func statusOf(err error) int {
	switch {
	case errors.Is(err, control.ErrNotLeading):
		return http.StatusMisdirectedRequest
	case errors.Is(err, control.ErrNotHeld):
		return http.StatusNotFound
	case errors.Is(err, recovery.ErrRefused):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostImport)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, map[string]string{"error": err.Error()})
}
