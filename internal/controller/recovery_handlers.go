package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"ospreyslip/internal/httpbody"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/wirejson"
)

// registerRecoveryHandlers registers the handlers for operators during a recovery: its status, the
// import of parts of a snapshot, and decisions about held jobs.
func (c *Controller) registerRecoveryHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /recovery", c.showRecovery)
	mux.HandleFunc("POST /recovery/import", c.importSnapshot)
	mux.HandleFunc("POST /recovery/settle", c.settleJob)
}

func (c *Controller) showRecovery(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.derived.API.RequestTimeout)
	defer cancel()
	status, err := c.leaderHandle.Recovery(ctx)
	if errors.Is(err, leader.ErrNotLeading) {
		writeJSON(w, http.StatusMisdirectedRequest, recoverer.Status{Leader: c.elector.Leader()})
		return
	}
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// maxRequestBytes limits the size of a request body, and so the memory that one request can use.
const maxRequestBytes = 1 << 20

func (c *Controller) importSnapshot(w http.ResponseWriter, r *http.Request) {
	var request recoverer.ImportRequest
	if !readJSON(w, r, &request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.derived.API.RequestTimeout)
	defer cancel()
	imported, err := c.leaderHandle.Import(ctx, request)
	if err != nil {
		writeError(w, httpStatusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, imported)
}

// errInvalidJobID is the response to a request with a malformed job ID.
var errInvalidJobID = errors.New("job must be of the form j-000412")

// SettleRequest is the request and response body of POST /recovery/settle. It holds an operator's
// decision about a job that is held because its outcome is unknown.
type SettleRequest struct {
	Job string              `json:"job"`
	As  recovery.Settlement `json:"as"`
}

func (c *Controller) settleJob(w http.ResponseWriter, r *http.Request) {
	var request SettleRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !jobs.ValidID(request.Job) {
		writeError(w, http.StatusBadRequest, errInvalidJobID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.derived.API.RequestTimeout)
	defer cancel()
	if err := c.leaderHandle.Settle(ctx, request.Job, request.As); err != nil {
		writeError(w, httpStatusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, request)
}

// httpStatusOf returns the HTTP status code for an error from the leader.
func httpStatusOf(err error) int {
	switch {
	case errors.Is(err, leader.ErrNotLeading):
		return http.StatusMisdirectedRequest
	case errors.Is(err, recoverer.ErrNotHeld):
		return http.StatusNotFound
	case errors.Is(err, recovery.ErrRefused):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// readJSON decodes a request body. If that fails, it writes an error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := wirejson.UnmarshalFirst(httpbody.NewReader(w, r, maxRequestBytes), target); err != nil {
		writeError(w, httpbody.RejectionStatus(err), err)
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
