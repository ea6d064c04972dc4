package leader

import (
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// crowdedHeartbeat returns a heartbeat of machine m-1 with the given number of tasks of other leaders, as large as a
// request body with them.
func crowdedHeartbeat(seq uint64, tasks int, state string) *workers.Heartbeat {
	heartbeat := newHeartbeat(1, seq)
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskStatus{Name: workers.TaskName("j-1", i), Attempt: uint64(1000 + i), State: state})
	}
	heartbeat.Bytes = 60 * tasks
	return heartbeat
}

// TestOversizedHeartbeats checks that a machine whose heartbeats are too large, as earlier versions made them, is
// answered with commands of a size that is allowed, gets no further tasks, is named to operators, and gets tasks
// again once it lists fewer.
func TestOversizedHeartbeats(t *testing.T) {
	leader, machine, _, now := newTestLeader()
	machine.Offer.Total = placement.MachineTotal(&jobs.MachineType{CPUs: 16, RAMGB: 64})
	small := placement.TaskRequest(&jobs.Spec{ID: "j-9", Tasks: 2000, CPUs: 0.01})
	oversized := func() int { return leader.status(now).Machines[0].OversizedBytes }

	response := leader.handleHeartbeat(crowdedHeartbeat(2, 1200, workers.StateEnded), now.Add(time.Second))
	size := 0
	for i := range response.Commands {
		size += response.Commands[i].MaxBytes()
	}
	if len(response.Commands) < 100 || size > workers.MaxMessageBytes {
		t.Errorf("%d commands, of up to %d bytes", len(response.Commands), size)
	}
	if machine.Offer.Free.Fits(small) || oversized() != 72_000 {
		t.Errorf("free %+v, oversized %d", machine.Offer.Free, oversized())
	}
	leader.handleHeartbeat(newHeartbeat(1, 3), now.Add(2*time.Second))
	if !machine.Offer.Free.Fits(small) || machine.UnassignedBytes != 0 {
		t.Errorf("free %+v after the tasks have gone", machine.Offer.Free)
	}
	quiet := newHeartbeat(1, 4)
	quiet.Bytes = 200
	leader.handleHeartbeat(quiet, now.Add(3*time.Second))
	if oversized() != 0 {
		t.Errorf("oversized %d after the tasks have gone", oversized())
	}
}

// TestVerboseHeartbeats checks that the room for tasks follows from the size of heartbeats if they take more for each
// task than this program would.
func TestVerboseHeartbeats(t *testing.T) {
	leader, machine, job, now := newTestLeader()
	machine.Offer.Total = placement.MachineTotal(&jobs.MachineType{CPUs: 16, RAMGB: 64})
	heartbeat := newHeartbeat(1, 2, workers.TaskStatus{Name: "j-1/0", Attempt: machineAttempt(machine), State: workers.StateRunning})
	heartbeat.Bytes = 63_000
	leader.handleHeartbeat(heartbeat, now.Add(time.Second))
	if free := machine.Offer.Free.HeartbeatBytes; free > 3_000 || free < 0 {
		t.Errorf("%v bytes free for %s", free, job.ID)
	}
}

// machineAttempt returns the attempt of the only assignment of a machine.
func machineAttempt(machine *cluster.Machine) uint64 {
	for attempt := range machine.Assignments {
		return attempt
	}
	panic(fmt.Sprintf("%s has no assignment", machine.ID))
}
