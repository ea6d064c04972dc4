package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/snapshot"
)

// recoveryStatus returns the leader's recovery status, or its zero value if no controller leads.
func (c *cluster) recoveryStatus() recoverer.Status {
	for _, name := range c.names {
		if c.incarnations[name].ended() {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		status, err := c.incarnations[name].controller.leaderHandle.Recovery(ctx)
		cancel()
		if err == nil {
			return status
		}
	}
	return recoverer.Status{}
}

// waitForRecovery waits until the leader reports that no record is missing and the store has no
// recovery record any more.
func (c *cluster) waitForRecovery(timeout time.Duration) {
	c.t.Helper()
	c.waitFor(timeout, "recovery complete", func() bool {
		return c.recoveryStatus().Phase == recoverer.NotRecovering && c.world.Store.Value(jobs.RecoveryStatusKey) == nil
	})
	c.advance(2 * time.Second) // all controllers learn of it within a control interval
}

// checkRecords checks that the records of jobs are in the store and have the given state.
func (c *cluster) checkRecords(state string, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		var record jobs.Record
		if err := json.Unmarshal(c.world.Store.Value("job/"+id), &record); err != nil || record.State != state {
			c.t.Errorf("record of %s: %+v, %v; want %s", id, record, err, state)
		}
	}
}

// checkStateEverywhere checks that every controller responds to a query about a job with one of the
// wanted states or, if the request fails, status codes.
func (c *cluster) checkStateEverywhere(id string, want ...string) {
	c.t.Helper()
	for _, name := range c.names {
		status, view := c.request("GET", name, "/v1/jobs/"+id, nil)
		got := fmt.Sprint(status)
		if status == http.StatusOK {
			got = view["stance"].(string)
		}
		if !strings.Contains(strings.Join(want, " "), got) {
			c.t.Errorf("%s responded to a query about %s with %s, want one of %v", name, id, got, want)
		}
	}
}

// runOneJobOfEachKind submits four jobs and waits until j-1, a service, and j-2, a batch job, are
// running, j-3 is done and j-4 is cancelled.
func (c *cluster) runOneJobOfEachKind() {
	c.t.Helper()
	c.submit("perch-0", serviceJob("j-1", 2))
	c.submit("perch-1", batchJob("j-2", 4, 400))
	c.submit("perch-2", batchJob("j-3", 2, 5))
	c.submit("perch-0", batchJob("j-4", 2, 400))
	c.waitFor(60*time.Second, "running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 4) == 4 })
	c.waitForDone(60*time.Second, "j-3")
	c.cancelJob("perch-1", "j-4")
	c.waitFor(30*time.Second, "cancelled tasks stopped", func() bool { return c.tasksOnMachines("j-4", 2) == 0 })
	c.advance(20 * time.Second) // all caches have the records
}

// checkUndisturbed runs do and checks, one minute later, that no task was started and that all
// tasks of j-1 and j-2 of runOneJobOfEachKind are running.
func (c *cluster) checkUndisturbed(do func()) {
	c.t.Helper()
	starts := c.world.TaskStarts()
	do()
	c.advance(time.Minute)
	if n := c.world.TaskStarts() - starts; n > 0 || c.tasksOnMachines("j-1", 2) != 2 || c.tasksOnMachines("j-2", 4) != 4 {
		c.t.Errorf("%d tasks were started; %d of 2 tasks of the service and %d of 4 of the batch job are running", n, c.tasksOnMachines("j-1", 2), c.tasksOnMachines("j-2", 4))
	}
}

// settleJob settles a held job at the leader.
func (c *cluster) settleJob(id string, as recovery.Settlement) error {
	return c.incarnations[c.leader()].controller.leaderHandle.Settle(c.ctx, id, as)
}

// describedHeldJobs returns the number of held jobs whose descriptions are known.
func (c *cluster) describedHeldJobs() (n int) {
	for _, job := range c.recoveryStatus().HeldJobs {
		if job.Described {
			n++
		}
	}
	return n
}

// takeSnapshot takes a snapshot of all records, as the operators' command does.
func (c *cluster) takeSnapshot() *snapshot.Snapshot {
	c.t.Helper()
	client := kvstore.New("10.2.0.1:1", c.world.Network.Transport("tool"), time.Second, kvstore.RateLimits{RequestsPerSecond: 100})
	taken, err := snapshot.Take(c.ctx, client, c.settings(c.names[0]).ClusterID(), time.Now())
	if err != nil {
		c.t.Fatal(err)
	}
	return taken
}

// importSnapshot imports a snapshot at the leader.
func (c *cluster) importSnapshot(taken *snapshot.Snapshot) (recoverer.ImportResult, error) {
	request := recoverer.ImportRequest{Cluster: taken.Manifest.Cluster, Revision: taken.Manifest.Revision}
	for _, record := range taken.Records {
		if strings.HasPrefix(record.Key, jobs.RecordPrefix) {
			request.Jobs = append(request.Jobs, recoverer.SnapshotRecord{ID: jobs.JobIDFromKey(record.Key), Record: record.Value})
		}
	}
	return c.incarnations[c.leader()].controller.leaderHandle.Import(c.ctx, request)
}
