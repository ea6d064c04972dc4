package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
)

// userHistory is what users did about a job, and what they were told.
type userHistory struct {
	submitted, cancelled, accepted bool
	final                          string    // the end that a user was told of
	answeredAt                     time.Time // when a question about it was last answered
}

// UserRequest sends a user's request to a node, and judges the answer by the rules. It
// returns the status, or 0 if there was no answer, and the answer's fields. Whoever asks about
// a job waits for the answer before asking about it again.
func (w *World) UserRequest(method, addr, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	jobID, cancels := strings.CutSuffix(strings.TrimPrefix(path, "/v1/jobs/"), cancelSuffix)
	if spec, ok := body.(map[string]any); ok && path == "/v1/jobs" {
		jobID, _ = spec["id"].(string)
	}
	submits := method == http.MethodPost && !cancels
	history, before := w.noteRequest(jobID, submits, cancels)
	client := &http.Client{Transport: w.Network.Transport("user"), Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var fields map[string]any
	_ = json.Unmarshal(out, &fields)
	if strings.HasPrefix(path, "/v1/jobs") {
		w.mu.Lock()
		defer w.mu.Unlock()
		state, _ := fields[jobStateField].(string)
		w.judgeAnswer(jobID, history, before, submits, resp.StatusCode, state)
		w.record.tracef("%s %s at %s: %d %s", method, path, addr, resp.StatusCode, state)
	}
	return resp.StatusCode, fields
}

// noteRequest notes that a user asks for something about a job. It returns the job's history
// and a copy of it as the request is sent.
func (w *World) noteRequest(jobID string, submits, cancels bool) (history *userHistory, before userHistory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	history = w.record.asked[jobID]
	if history == nil {
		history = &userHistory{}
		w.record.asked[jobID] = history
	}
	history.submitted, history.cancelled = history.submitted || submits, history.cancelled || cancels
	return history, *history
}

// NoteSubmitted notes a job that a user has submitted before the day began.
func (w *World) NoteSubmitted(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.asked[id] = &userHistory{submitted: true}
}

// judgeAnswer takes in an answer; before is the history as it was when the request
// was sent. The lock is held.
func (w *World) judgeAnswer(jobID string, history *userHistory, before userHistory, submits bool, status int, state string) {
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		if before.accepted {
			w.record.violate("forgotten: %s is not known", jobID)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if before.accepted && submits {
			w.record.violate("forgotten: %s submitted again gets %d", jobID, status)
		}
		return
	default:
		return
	}
	history.accepted = true
	history.answeredAt = time.Now()
	switch {
	case !before.submitted:
		w.record.violate("invented: %s is %s", jobID, state)
	case before.final != "" && state != before.final:
		w.record.violate("went_back: %s is %s after %s", jobID, state, before.final)
	case state == jobs.Done && !w.tasks.allDone(jobID):
		w.record.violate("not_done: %s", jobID)
	case state == jobs.Cancelled && !history.cancelled:
		w.record.violate("went_back: %s is cancelled, which nobody asked for", jobID)
	}
	if state == jobs.Done || state == jobs.Cancelled {
		history.final = state
	}
	if state == jobs.Cancelled {
		w.noteCancelled(jobID)
	}
}

// UnansweredJobs returns the accepted jobs about which no question was answered since a
// moment.
func (w *World) UnansweredJobs(since time.Time) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, history := range w.record.asked {
		if history.accepted && history.answeredAt.Before(since) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Accepted tells whether a user was told that a job is accepted.
func (w *World) Accepted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record.asked[id] != nil && w.record.asked[id].accepted
}
