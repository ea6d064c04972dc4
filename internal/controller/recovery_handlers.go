package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/recovery"
)

// registerRecoveryHandlers serve operators: the state of a recovery, parts of a snapshot, and
// decisions about held jobs.
func (n *Controller) registerRecoveryHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /recovery", n.showRecovery)
	mux.HandleFunc("POST /recovery/import", n.importSnapshot)
	mux.HandleFunc("POST /recovery/settle", n.settle)
}

func (n *Controller) showRecovery(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), n.derived.UserWait)
	defer cancel()
	status, err := n.gate.Recovery(ctx)
	if errors.Is(err, leader.ErrNotLeading) {
		writeJSON(w, http.StatusMisdirectedRequest, leader.RecoveryStatus{Following: n.elector.Leader()})
		return
	}
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// maxRequestBytes bounds what one request may make this node hold in memory.
const maxRequestBytes = 1 << 20

func (n *Controller) importSnapshot(w http.ResponseWriter, r *http.Request) {
	var in leader.Import
	if !readJSON(w, r, &in) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), n.derived.UserWait)
	defer cancel()
	count, err := n.gate.Import(ctx, in)
	if err != nil {
		writeError(w, httpStatusOf(err), err)
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
	ctx, cancel := context.WithTimeout(r.Context(), n.derived.UserWait)
	defer cancel()
	if err := n.gate.Settle(ctx, in.Job, in.As); err != nil {
		writeError(w, httpStatusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, in)
}

// httpStatusOf is the status for an error of the leader.
func httpStatusOf(err error) int {
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
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
