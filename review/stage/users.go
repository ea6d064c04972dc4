package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
)

// Texts of the users' protocol.
const (
	jobsPath     = "/v1/jobs"
	stateField   = "stance"
	doneState    = "done"
	abortedState = "aborted"
)

// wireSpec returns the fields of a job as users send them.
func wireSpec(spec *jobs.Spec) map[string]any {
	raw := encode(spec)
	var fields map[string]any
	_ = wirejson.Unmarshal(raw, &fields)
	if spec.Zone == "" {
		fields["eyrie"] = nil
	}
	return fields
}

// request sends a user's request and records it with its answer. It returns the status, or 0 without
// an answer, and the job's state.
func (s *stage) request(c *controller, method, path string, body any) (status int, state string) {
	status, fields := s.world.UserRequest(method, c.bind, path, body)
	state, _ = fields[stateField].(string)
	s.logf("%s %s at %s: %d %s", method, path, c.name, status, state)
	return status, state
}

func (s *stage) poll(c *controller, id string) (status int, state string) {
	return s.request(c, http.MethodGet, jobsPath+"/"+id, nil)
}

// insist repeats a request, at one controller after the other, until it is answered with 200 or 201.
func (s *stage) insist(first int, method, path string, body any) (state string, err error) {
	deadline := time.Now().Add(time.Minute)
	for i := first; time.Now().Before(deadline) && s.ctx.Err() == nil; i++ {
		status, state := s.request(s.controllers[i%controllerCount], method, path, body)
		if status == http.StatusOK || status == http.StatusCreated {
			return state, nil
		}
		s.sleep(1)
	}
	return "", fmt.Errorf("not answered within a minute: %s %s", method, path)
}

func (s *stage) submit(first int, spec *jobs.Spec) error {
	s.world.UploadSpec(spec)
	_, err := s.insist(first, http.MethodPost, jobsPath, wireSpec(spec))
	return err
}

func (s *stage) withdraw(first int, id string) (state string, err error) {
	return s.insist(first, http.MethodPost, jobsPath+"/"+id+"/withdraw", nil)
}

// forAll calls do for the numbers below count, a few at a time, and returns the first error.
func forAll(count, atOnce int, do func(i int) error) error {
	var workers sync.WaitGroup
	var mu sync.Mutex
	var first error
	next := 0
	for range atOnce {
		workers.Go(func() {
			for {
				mu.Lock()
				i, stop := next, first != nil || next >= count
				next++
				mu.Unlock()
				if stop {
					return
				}
				if err := do(i); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return first
}
