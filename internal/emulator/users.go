package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// asked is what users did about a job and what they were told.
type asked struct {
	submitted, withdrawn, accepted bool
	final                          string    // the end that a user was told of
	polled                         time.Time // when a question about it was last answered
}

// UserRequest sends a user's request to a node and judges the answer by the rules. Whoever
// asks about a job waits for the answer before asking about it again.
func (w *World) UserRequest(method, addr, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	id, withdraw := strings.CutSuffix(strings.TrimPrefix(path, "/v1/jobs/"), "/withdraw")
	if spec, ok := body.(map[string]any); ok && path == "/v1/jobs" {
		id, _ = spec["id"].(string)
	}
	submit := method == http.MethodPost && !withdraw
	w.mu.Lock()
	a := w.asked[id]
	if a == nil {
		a = &asked{}
		w.asked[id] = a
	}
	a.submitted, a.withdrawn = a.submitted || submit, a.withdrawn || withdraw
	before := *a
	w.mu.Unlock()
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
	var view map[string]any
	_ = json.Unmarshal(out, &view)
	if strings.HasPrefix(path, "/v1/jobs") {
		w.mu.Lock()
		defer w.mu.Unlock()
		stance, _ := view["stance"].(string)
		w.judge(id, a, before, submit, resp.StatusCode, stance)
		w.note("%s %s at %s: %d %s", method, path, addr, resp.StatusCode, stance)
	}
	return resp.StatusCode, view
}

// NoteSubmitted notes a job that a user has submitted before the day began.
func (w *World) NoteSubmitted(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[id] = &asked{submitted: true}
}

// judge takes in an answer; before is what held when the question was sent.
func (w *World) judge(id string, a *asked, before asked, submit bool, status int, stance string) {
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		if before.accepted {
			w.breaks("forgotten: %s is not known", id)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if before.accepted && submit {
			w.breaks("forgotten: %s submitted again gets %d", id, status)
		}
		return
	default:
		return
	}
	a.accepted = true
	a.polled = time.Now()
	switch {
	case !before.submitted:
		w.breaks("invented: %s is %s", id, stance)
	case before.final != "" && stance != before.final:
		w.breaks("went_back: %s is %s after %s", id, stance, before.final)
	case stance == jobs.Done && !w.allDone(id):
		w.breaks("not_done: %s", id)
	case stance == jobs.Cancelled && !a.withdrawn:
		w.breaks("went_back: %s is cancelled, which nobody asked for", id)
	}
	if stance == jobs.Done || stance == jobs.Cancelled {
		a.final = stance
	}
	if stance == jobs.Cancelled {
		w.toldCancelled(id)
	}
}

func (w *World) allDone(id string) bool {
	spec := w.specs[id]
	if spec == nil {
		return false
	}
	for n := range spec.Tasks {
		if !w.done[workers.TaskName(id, n)] {
			return false
		}
	}
	return true
}

// UnansweredJobs returns the accepted jobs about which no question was answered since a
// moment.
func (w *World) UnansweredJobs(since time.Time) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, a := range w.asked {
		if a.accepted && a.polled.Before(since) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

func (w *World) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", time.Since(w.born).Seconds())+fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (w *World) breaks(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// Trace returns what happened up to the first broken rule, or all if there is none:
// what is about the job named there, and all troubles.
func (w *World) Trace() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := ""
	if len(w.broken) > 0 {
		for _, f := range strings.FieldsFunc(w.broken[0], func(r rune) bool { return r == ' ' || r == '/' }) {
			if strings.HasPrefix(f, "j-") {
				id = f
			}
		}
	}
	var b strings.Builder
	for _, line := range w.trace {
		if broke := strings.Contains(line, "BROKEN"); broke || id == "" || !strings.Contains(line, "j-") || strings.Contains(line, id+"/") || strings.Contains(line, id+" ") {
			b.WriteString(line + "\n")
			if broke {
				break
			}
		}
	}
	return b.String()
}

// Accepted tells whether a user was told that a job is accepted.
func (w *World) Accepted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked[id] != nil && w.asked[id].accepted
}
