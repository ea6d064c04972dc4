package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// fakeHost stands in for the other parts of a leader. It holds the leadership lease, no job is
// cancelled, and posted functions are dropped.
type fakeHost struct{}

func (fakeHost) IsLeader() bool                                            { return true }
func (fakeHost) IsCancelled(string) bool                                   { return false }
func (fakeHost) MustKeepOrphan(*cluster.Machine, *workers.TaskStatus) bool { return false }
func (fakeHost) Post(context.Context, func(time.Time))                     {}
func (fakeHost) PostAfter(context.Context, time.Duration, func())          {}
func (fakeHost) Notify(*cluster.Machine)                                   {}
func (fakeHost) JobCompleted(*cluster.Job)                                 {}
func (fakeHost) CountsChanged(*cluster.Job)                                {}
func (fakeHost) RemoveIfFinished(*cluster.Job)                             {}
func (fakeHost) MayHaveUnknownTasks(*cluster.Job, time.Time) bool          { return false }

// blockingTransport is an HTTP transport that blocks each request until its context is done.
type blockingTransport struct{}

func (blockingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// scenario is a dispatcher with fencing token 5 and one job, each of whose tasks fills a machine.
type scenario struct {
	*Dispatcher
	job *cluster.Job
	now time.Time
}

func newScenario(t *testing.T, now time.Time) *scenario {
	t.Helper()
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.HostLimits{MemoryMB: 100, MaxSockets: 100},
	}}
	derived := set.Derive()
	derived.Host.CommandsInFlight = 4
	state, runTimes, token := cluster.NewState(), runtimes.NewEstimator(), fencing.New(5, 1)
	catalog := &cluster.Catalog{Types: func() []jobs.MachineType { return nil }}
	plans := planner.New(planner.Config{}, state, runTimes, catalog.Type, nil)
	manager := tasks.NewManager(tasks.Deps{
		Derived: derived, Catalog: catalog, Fencing: token, Planner: plans, RunTimes: runTimes, Host: fakeHost{},
		Log: assignmentlog.New(assignmentlog.Config{ChunkTasks: 64, MaxOps: 12, ValueBytes: 32 << 10}),
	}, 100)
	d := New(Deps{
		Derived: derived, Client: workers.NewClient(blockingTransport{}, time.Minute), State: state, Catalog: catalog,
		Fencing: token, Detector: liveness.New(liveness.Config{}), Failover: reconcile.NewFailover(now, time.Second),
		Planner: plans, Tasks: manager, Host: fakeHost{},
	})
	job := cluster.NewJob("j-7", &jobs.Spec{ID: "j-7", Team: "red", Shape: jobs.Batch, Tasks: 100, CPUs: 4}, 1, 0, now)
	state.Jobs[job.ID] = job
	return &scenario{d, job, now}
}

// addMachine adds a machine that has reported, and assigns a task of the job to it durably.
func (s *scenario) addMachine(id string) (*cluster.Machine, *cluster.Assignment) {
	machine := cluster.NewMachine(id, s.now)
	machine.Phase = cluster.Up
	s.State.Machines.Add(machine)
	s.Tasks.Observe(machine, &workers.Heartbeat{Machine: id, Addr: "10.1.0.1:9000", AgentEpoch: 1, Seq: 1, FencingToken: 5}, s.now)
	machine.Worker.HeartbeatAt, machine.Worker.LeaseUntil = s.now, s.now.Add(time.Hour)
	a := s.Tasks.Assign(s.job, s.job.TakePendingTask(), machine, s.now)
	a.Log.Durable = true
	return machine, a
}
