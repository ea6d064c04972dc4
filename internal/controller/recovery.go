package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// lossQueue is how much evidence waits to be handed on. More tells nothing new.
const lossQueue = 64

// lossDesk hands evidence of lost records to the leader, and answers the leader's
// questions for what this node knows.
type lossDesk struct {
	noticed chan detection.Loss
	told    time.Time   // when the leader was last told, owned by the duty
	unsure  atomic.Bool // the leader says that records are being compared
	writing atomic.Bool // the leader says that lost records are being written again

	mu     sync.Mutex
	round  uint64 // of comparison, the last that was asked about
	ticket uint64 // of this node's own comparison in it
}

func newLossDesk() *lossDesk { return &lossDesk{noticed: make(chan detection.Loss, lossQueue)} }

// notice takes in evidence. It is called in the midst of other duties and never waits.
func (d *lossDesk) notice(l detection.Loss) {
	select {
	case d.noticed <- l:
	default:
	}
}

// tellLosses hands evidence on until the context ends.
func (n *Controller) tellLosses(ctx context.Context) {
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
func (n *Controller) tellLoss(l detection.Loss) {
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
func (n *Controller) lostPage(q peer.LostJobsRequest) peer.LostJobsResponse {
	if q.ComparisonRound == 0 {
		// Who asks compares with what this node knows: that has to be in the records still.
		fresh := time.Since(n.cache.WitnessesChecked()) < n.d.TermRenew
		if !fresh {
			n.cache.CheckWitnesses()
		}
		return peer.LostJobsResponse{
			Compared: fresh, KnownJobs: n.cache.Jobs(), NewestRevision: n.cache.Newest(), LossNoticed: n.cache.Suspected() || n.cache.LostJobs() > 0,
			ReliesOnNoPromise: n.keeper.ReliesOnNothing(),
		}
	}
	n.losses.mu.Lock()
	if n.losses.round != q.ComparisonRound {
		n.losses.round, n.losses.ticket = q.ComparisonRound, n.cache.Verify()
	}
	ticket := n.losses.ticket
	n.losses.mu.Unlock()
	if !n.cache.Verified(ticket) {
		return peer.LostJobsResponse{}
	}
	lost, more := n.cache.Lost(q.AfterID, lostRows)
	page := peer.LostJobsResponse{Compared: true, More: more}
	for _, l := range lost {
		page.Jobs = append(page.Jobs, peer.LostJob{ID: l.ID, State: l.State, Tasks: l.Tasks, Record: n.cache.Unfinished(l.ID)})
	}
	return page
}

// lostRows is how many lost jobs are in one answer to the leader.
const lostRows = 500

// leaderIsUnsure takes in whether the leader is comparing records, or writing lost ones again.
// Until they are written, this node may not know of a job, or know less than others.
func (n *Controller) leaderIsUnsure(p peer.Progress) {
	n.cache.PutBack(p.PutBack)
	compared := n.losses.unsure.Swap(p.Uncertain) && !p.Uncertain
	written := n.losses.writing.Swap(p.Restoring) && !p.Restoring
	if compared || written || !p.Uncertain && !n.cache.SawAll() {
		n.cache.Compared()
	}
	if p.Uncertain || p.Restoring {
		n.cache.Suspect(time.Now().Add(n.d.Cancel))
	}
}

// recoveryHandlers serve operators: the state of a recovery, parts of a snapshot, and
// decisions about held jobs.
func (n *Controller) recoveryHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /recovery", n.showRecovery)
	mux.HandleFunc("POST /recovery/import", n.importSnapshot)
	mux.HandleFunc("POST /recovery/settle", n.settle)
}

func (n *Controller) showRecovery(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), n.d.UserWait)
	defer cancel()
	status, err := n.gate.Recovery(ctx)
	if errors.Is(err, leader.ErrNotLeading) {
		writeJSON(w, http.StatusMisdirectedRequest, leader.RecoveryStatus{Following: n.keeper.Leader()})
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

func (n *Controller) importSnapshot(w http.ResponseWriter, r *http.Request) {
	var in leader.Import
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

// SettleRequest is an operator's decision about a held job.
type SettleRequest struct {
	Job string              `json:"job"`
	As  recovery.Settlement `json:"as"`
}

func (n *Controller) settle(w http.ResponseWriter, r *http.Request) {
	var in SettleRequest
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
	case errors.Is(err, leader.ErrNotLeading):
		return http.StatusMisdirectedRequest
	case errors.Is(err, leader.ErrNotHeld):
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
