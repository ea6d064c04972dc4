package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/workers"
)

// An unchanged heartbeat costs the same number of allocations in a fleet of any size, and causes no
// plan, no write and no command.
func TestHeartbeatCostIndependentOfFleetSize(t *testing.T) {
	cost := func(size int) float64 {
		l, heartbeats, now := newFullFleet(t, size)
		l.planner.PlanRequested = false
		l.dispatcher = dispatch.New(dispatchDeps(l))
		l.readLog(nil)
		n := testing.AllocsPerRun(100, func() { repeatHeartbeat(l, heartbeats[20], now) })
		if l.planner.PlanRequested || l.log.HasWork() || l.dispatcher.QueueLength() > 0 {
			t.Errorf("an unchanged heartbeat in a fleet of %d causes a plan, a write or a command", size)
		}
		return n
	}
	if smallFleetCost, largeFleetCost := cost(25), cost(largestFleet); smallFleetCost != largeFleetCost {
		t.Errorf("%v allocations per heartbeat in a fleet of 25, %v in one of %d", smallFleetCost, largeFleetCost, largestFleet)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	l, heartbeats, now := newFullFleet(b, largestFleet)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		repeatHeartbeat(l, heartbeats[i%len(heartbeats)], now)
	}
}

// BenchmarkPlan plans for 100 pending tasks of one job. One of them fits on the idle machine, the
// others find no capacity.
func BenchmarkPlan(b *testing.B) {
	leader, heartbeats, now := newFullFleet(b, largestFleet)
	idle := &workers.Heartbeat{Machine: "m-900000", Type: "c4", Zone: "a", AgentEpoch: 1, Seq: 1, FencingToken: 5}
	leader.handleHeartbeat(idle, now)
	leader.planner.Enqueue(leader.state.Jobs["j-7"])
	_ = heartbeats
	for b.Loop() {
		leader.plan(now)
		m := leader.state.Machines.ByID[idle.Machine]
		if len(m.Assignments) != 1 {
			b.Fatalf("%d tasks placed", len(m.Assignments))
		}
		for _, a := range m.Assignments {
			leader.tasks.End(a, cluster.Retry)
			leader.tasks.Remove(a)
		}
	}
}

// BenchmarkPlanFull plans for a hundred jobs that wait for capacity while all machines are full.
func BenchmarkPlanFull(b *testing.B) {
	l, _, now := newFullFleet(b, 400)
	for i := range 100 {
		s := &jobs.Spec{ID: fmt.Sprintf("j-1%03d", i), Class: "sums", Team: "red", Shape: jobs.Batch, Priority: []string{jobs.Standard, jobs.BestEffort}[i%2], Tasks: 25, CPUs: 1, RAMGB: 3, EstimatedRuntimeS: 30, Spot: true, Image: fmt.Sprintf("img-%d", i%14)}
		j := cluster.NewJob(s.ID, s, uint64(i+2), 0, now)
		l.state.Jobs[j.ID] = j
		l.planner.Enqueue(j)
	}
	for b.Loop() {
		l.planner.GuaranteesStale = true
		l.plan(now)
	}
}

// BenchmarkPlanGang searches three zones in vain for capacity for a gang of 16 tasks, and for tasks
// whose preemption would free it.
func BenchmarkPlanGang(b *testing.B) {
	l, _, now := newFullFleet(b, largestFleet)
	spec := &jobs.Spec{ID: "j-8", Class: "joint", Team: "red", Shape: jobs.Gang, Priority: jobs.Urgent, Tasks: 16, CPUs: 5, RAMGB: 8, EstimatedRuntimeS: 30, Image: "img", OneZone: true}
	j := cluster.NewJob(spec.ID, spec, 1, 0, now)
	l.state.Jobs[j.ID] = j
	l.planner.Enqueue(j)
	for b.Loop() {
		l.plan(now)
		if len(j.Assignments) > 0 {
			b.Fatal("placed where nothing fits")
		}
	}
}

// A tick without pending tasks and events allocates no memory per machine. The test runs over control
// intervals, in each of which every machine is checked.
func TestTickCostIndependentOfFleetSize(t *testing.T) {
	cost := func(size int) float64 {
		l, _, now := newFullFleet(t, size)
		l.Broadcast = func(map[string]jobs.TaskCounts, []peer.JobChange) {}
		l.planner.UnmetDemand, l.loop.broadcastAt = nil, now
		return testing.AllocsPerRun(3*cluster.TickGroups, func() {
			l.tick(t.Context(), now)
			l.scaler.Reconcile(t.Context(), now, l.planner.UnmetDemand) // in each tick, as if it were due
		})
	}
	if smallFleetCost, largeFleetCost := cost(25), cost(largestFleet); largeFleetCost > smallFleetCost+5 {
		t.Errorf("%v allocations per tick in a fleet of 25, %v in one of %d", smallFleetCost, largeFleetCost, largestFleet)
	}
}

// BenchmarkTick runs ticks over all machines without events, including a run of the scaler in each.
func BenchmarkTick(b *testing.B) {
	l, _, now := newFullFleet(b, largestFleet)
	l.Broadcast = func(map[string]jobs.TaskCounts, []peer.JobChange) {}
	l.scaler.DeferProvisioning(now.Add(time.Hour)) // no machine is provisioned
	for b.Loop() {
		l.tick(b.Context(), now)
		l.scaler.Reconcile(b.Context(), now, l.planner.UnmetDemand) // in each tick, as if it were due
	}
}

// BenchmarkFailover loads an assignment log that names all machines.
func BenchmarkFailover(b *testing.B) {
	leader, _, now := newFullFleet(b, largestFleet)
	segments := writeLog(leader)
	spec, _ := json.Marshal(leader.state.Jobs["j-7"].Spec)
	bytes := 0
	for _, p := range segments {
		bytes += len(p.Value)
	}
	b.ReportMetric(float64(len(segments)), "segments")
	b.ReportMetric(float64(bytes), "bytes")
	for b.Loop() {
		var s jobs.Spec
		if err := json.Unmarshal(spec, &s); err != nil {
			b.Fatal(err)
		}
		if next := newSuccessor(leader, segments, now, &s); len(next.state.Machines.All) != largestFleet {
			b.Fatalf("%d machines restored", len(next.state.Machines.All))
		}
	}
}
