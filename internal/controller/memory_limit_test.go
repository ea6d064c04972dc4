package controller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
)

// TestMemoryLimitRefusesNewJobs checks that controllers near their memory limit refuse new jobs
// promptly, and still serve polls, repeated submissions and cancellations and run accepted jobs.
func TestMemoryLimitRefusesNewJobs(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.submit("perch-0", batchJob("j-3", 2, 30))
		c.submit("perch-0", batchJob("j-4", 2, 300))
		c.memoryInUse.Store(1 << 40)
		c.advance(2 * time.Second)
		startedAt := time.Now()
		for _, n := range c.names {
			if status, _ := c.request("POST", n, "/v1/jobs", wireSpec(batchJob("j-5", 2, 30))); status != http.StatusServiceUnavailable {
				t.Errorf("%s responded to a new job with %d", n, status)
			}
			if status, _ := c.request("POST", n, "/v1/jobs", wireSpec(batchJob("j-3", 2, 30))); status != http.StatusOK {
				t.Errorf("%s responded to a repeated submission with %d", n, status)
			}
			if status, _ := c.request("GET", n, "/v1/jobs/j-3", nil); status != http.StatusOK {
				t.Errorf("%s responded to a poll with %d", n, status)
			}
		}
		if took := time.Since(startedAt); took > 3*time.Second {
			t.Errorf("all responses took %v, want at most 3s", took)
		}
		c.cancelJob("perch-1", "j-4")
		c.waitForDone(60*time.Second, "j-3")
		c.waitFor(40*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-4", 2) == 0 })
		c.memoryInUse.Store(0)
		c.advance(2 * time.Second)
		c.submit("perch-2", batchJob("j-5", 2, 30))
		c.waitForDone(60*time.Second, "j-5")
	})
}

// TestMemoryLimitRetryAfter checks that a refusal for lack of memory has a Retry-After header.
func TestMemoryLimitRetryAfter(t *testing.T) {
	c := &cluster{t: t, names: []string{"perch-0"}}
	net := emulator.NewNetwork()
	net.Attach("state", "10.2.0.1:1", emulator.NewKVStore())
	controller := New(c.settings("perch-0"), Environment{HTTP: net.Transport("perch-0"), Memory: func() uint64 { return 0 }})
	controller.machineTypes.current.Store(&testMachineTypes)
	controller.memoryLimit.exceeded.Store(true)
	controller.cache.Readiness.AssumeComplete() // as RunBackground does without peers
	body, _ := json.Marshal(wireSpec(batchJob("j-1", 1, 10)))
	recorder := httptest.NewRecorder()
	controller.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body)))
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" || !strings.Contains(recorder.Body.String(), "memory") {
		t.Errorf("%d %v %s", recorder.Code, recorder.Header(), recorder.Body)
	}
}
