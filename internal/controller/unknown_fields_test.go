package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/wirejson/wirejsontest"
)

// storedValueField is the field of the state service's messages that holds a stored record.
const storedValueField = "value"

// TestUnknownFieldsInAllMessages guards against messages of users, workers, the cloud and the state service
// in which an unknown field takes the place of a known one, also across a change of leader and a restart
// of all controllers. The state service returns records as they were written; later versions of the
// controllers may write records with further fields.
func TestUnknownFieldsInAllMessages(t *testing.T) {
	for name, opaque := range map[string][]string{"records as written": {storedValueField}, "records of later versions": nil} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.world.Network.SetRewriteBody(func(body []byte) []byte { return wirejsontest.AddUnknownFields(body, opaque...) })
				runJobsWithUnknownFields(c)
			})
		})
	}
}

// runJobsWithUnknownFields runs a job of each shape while the leader changes and all controllers restart.
func runJobsWithUnknownFields(c *cluster) {
	c.advance(5 * time.Second)
	c.submit("perch-0", serviceJob("j-1", 2))
	c.submit("perch-1", gangJob("j-2", 4, 20))
	c.submit("perch-2", batchJob("j-3", 10, 15))
	c.waitFor(60*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	old := c.leader()
	c.crash(old)
	c.waitForNewLeader(15*time.Second, old)
	c.start(old)
	c.waitForDone(120*time.Second, "j-2")
	c.waitForDone(120*time.Second, "j-3")
	c.crash(c.names...)
	c.advance(3 * time.Second)
	for _, name := range c.names {
		c.start(name)
	}
	c.advance(15 * time.Second)
	if status, view := c.request("POST", "perch-0", "/v1/jobs", wireSpec(serviceJob("j-1", 2))); status != http.StatusOK {
		c.t.Errorf("repeated submission: %d %v", status, view)
	}
	c.cancelJob("perch-1", "j-1")
	c.waitFor(15*time.Second, "replicas stopped", func() bool { return c.tasksOnMachines("j-1", 2) == 0 })
	if starts := c.world.TaskStarts(); starts != 16 {
		c.t.Errorf("%d starts for 16 tasks", starts)
	}
	for _, name := range c.names {
		if status, _ := c.request("GET", name, "/v1/jobs/j-900001", nil); status != http.StatusNotFound {
			c.t.Errorf("%s: a job that only unknown fields name: status %d", name, status)
		}
	}
}

// TestUnknownFieldsInStoredRecords guards against stored records in which an unknown field takes the place of a
// known one: a later version may have added fields.
func TestUnknownFieldsInStoredRecords(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		c.crash(c.names...)
		for _, prefix := range []string{jobs.RecordPrefix, assignmentlog.Prefix, catalogKey} {
			for _, key := range c.world.Store.Keys(prefix) {
				c.world.Store.Put(key, wirejsontest.AddUnknownFields(c.world.Store.Value(key)))
			}
		}
		c.world.SetCloudOutage(true) // the machine types come from the store
		for _, name := range c.names {
			c.start(name)
		}
		c.advance(10 * time.Second)
		c.submit("perch-0", batchJob("j-3", 1, 5))
		c.world.SetCloudOutage(false)
		c.waitForDone(120*time.Second, "j-2")
		c.waitForDone(120*time.Second, "j-3")
		if got := c.jobState("j-1"); got != jobs.Running {
			t.Errorf("service is %s", got)
		}
		if starts := c.world.TaskStarts(); starts != 9 {
			t.Errorf("%d starts for 9 tasks", starts)
		}
	})
}

// TestUnknownFieldsOfOperators guards against requests of operators in which an unknown field takes the place of
// a known one: a decision about one job could be carried out for another.
func TestUnknownFieldsOfOperators(t *testing.T) {
	for _, spelling := range wirejsontest.Spellings("job") {
		body := strings.Replace(`{"job":"j-1","as":"done","SPELLING":"j-2"}`, "SPELLING", strings.ReplaceAll(spelling, "\x00", `\u0000`), 1)
		var request SettleRequest
		recorder := httptest.NewRecorder()
		if !readJSON(recorder, httptest.NewRequest(http.MethodPost, "/recovery/settle", strings.NewReader(body)), &request) || request.Job != "j-1" {
			t.Errorf("%s: read as %+v, response %s", body, request, recorder.Body)
		}
	}
}
