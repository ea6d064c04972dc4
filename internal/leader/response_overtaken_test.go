package leader

import (
	"testing"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// TestResponseOvertakenByCommand guards against a task that runs twice: its start is in the response to a
// heartbeat, the task is preempted at once, and the answer to a direct command, which overtakes the response,
// does not list it. Only the worker's next heartbeat shows that the response will start nothing any more.
func TestResponseOvertakenByCommand(t *testing.T) {
	l, m, job, now := newTestLeader()
	response := l.handleHeartbeat(newHeartbeat(1, 2), now.Add(time.Second))
	if started := describeCommands(response.Commands); len(started) != 1 || started[0] != workers.OpRun+" j-1/0" {
		t.Fatalf("commands %v, want the start of j-1/0", started)
	}
	assignment := job.Assignments[0]
	l.tasks.Stop(assignment, 0)
	l.tasks.Observe(m, newHeartbeat(1, 3), now.Add(time.Second)) // the answer to a direct command
	if assignment.Outcome != cluster.Open {
		t.Error("the task may be placed elsewhere while the worker may still start it")
	}
	l.handleHeartbeat(newHeartbeat(1, 4), now.Add(3*time.Second))
	if assignment.Outcome != cluster.Retry {
		t.Error("the task is not given up after the next heartbeat without it")
	}
}
