package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
)

// userHistory holds the requests of users about one job and the responses that they received.
type userHistory struct {
	submitted, cancelled, accepted bool
	finalState                     string    // final state that a user was told, or empty
	lastResponseAt                 time.Time // when a request about the job last succeeded
}

// UserRequest sends a user's request to a controller and checks the response against the rules.
// It returns the status, or 0 if there was no response, and the fields of the response. Requests
// about the same job must not be concurrent.
func (w *World) UserRequest(method, addr, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	jobID, isCancellation := strings.CutSuffix(strings.TrimPrefix(path, "/v1/jobs/"), cancelSuffix)
	if spec, ok := body.(map[string]any); ok && path == "/v1/jobs" {
		jobID, _ = spec["id"].(string)
	}
	isSubmission := method == http.MethodPost && !isCancellation
	history, before := w.recordRequest(jobID, isSubmission, isCancellation)
	client := &http.Client{Transport: w.Network.Transport("user"), Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var fields map[string]any
	_ = wirejson.Unmarshal(responseBody, &fields)
	if strings.HasPrefix(path, "/v1/jobs") {
		w.mu.Lock()
		defer w.mu.Unlock()
		state, _ := fields[jobStateField].(string)
		w.checkResponse(jobID, history, before, isSubmission, resp.StatusCode, state)
		w.traceLog.tracef("%s %s at %s: %d %s", method, path, addr, resp.StatusCode, state)
	}
	return resp.StatusCode, fields
}

// recordRequest records that a user sends a request about a job. It returns the job's history and
// a copy of the history as of the request.
func (w *World) recordRequest(jobID string, isSubmission, isCancellation bool) (history *userHistory, before userHistory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	history = w.traceLog.userHistories[jobID]
	if history == nil {
		history = &userHistory{}
		w.traceLog.userHistories[jobID] = history
	}
	history.submitted, history.cancelled = history.submitted || isSubmission, history.cancelled || isCancellation
	return history, *history
}

// RecordSubmission records that a user submitted a job before the emulation started.
func (w *World) RecordSubmission(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traceLog.userHistories[id] = &userHistory{submitted: true}
}

// checkResponse records a response and checks it against the rules. before is the job's history
// as of the request. w.mu must be held.
func (w *World) checkResponse(jobID string, history *userHistory, before userHistory, isSubmission bool, status int, state string) {
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		if before.accepted {
			w.traceLog.recordViolation("forgotten: %s is not known", jobID)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if before.accepted && isSubmission {
			w.traceLog.recordViolation("forgotten: %s submitted again gets %d", jobID, status)
		}
		return
	default:
		return
	}
	history.accepted = true
	history.lastResponseAt = time.Now()
	if w.RecordsAreKept && w.Store.Value(jobs.RecordKey(jobID)) == nil {
		w.traceLog.recordViolation("forgotten: %s is %s, and has no record", jobID, state)
	}
	switch {
	case !before.submitted:
		w.traceLog.recordViolation("invented: %s is %s", jobID, state)
	case before.finalState != "" && state != before.finalState:
		w.traceLog.recordViolation("went_back: %s is %s after %s", jobID, state, before.finalState)
	case state == jobs.Done && !w.tasks.allDone(jobID):
		w.traceLog.recordViolation("not_done: %s", jobID)
	case state == jobs.Cancelled && !history.cancelled:
		w.traceLog.recordViolation("went_back: %s is cancelled, which nobody asked for", jobID)
	}
	if state == jobs.Done || state == jobs.Cancelled {
		history.finalState = state
	}
	if state == jobs.Cancelled {
		w.recordCancellation(jobID)
	}
}

// UnansweredJobs returns the IDs of accepted jobs about which no request has succeeded since the
// given time.
func (w *World) UnansweredJobs(since time.Time) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, history := range w.traceLog.userHistories {
		if history.accepted && history.lastResponseAt.Before(since) {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsJobAccepted reports whether a user was told that a job is accepted.
func (w *World) IsJobAccepted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.traceLog.userHistories[id] != nil && w.traceLog.userHistories[id].accepted
}
