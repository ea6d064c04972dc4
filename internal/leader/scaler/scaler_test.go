package scaler

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
)

// fakeHost stands in for the rest of the leader. Tasks run for as long as their owners estimate.
type fakeHost struct {
	term         uint64
	machines     *cluster.MachineSet
	unknownTasks bool            // applies to all machines
	silentZones  map[string]bool // reported as silent for any duration
	suspected    []string
	withdrawn    []string
	planRequests int
}

func (h *fakeHost) Term() uint64 { return h.term }

func (h *fakeHost) Token() uint64 { return 5 }

func (h *fakeHost) RunTimeS(spec *jobs.Spec) float64 { return spec.EstimatedRuntimeS }

func (h *fakeHost) IsUsable(m *cluster.Machine, _ time.Time) bool { return m.Phase == cluster.Up }

func (h *fakeHost) MayHaveUnknownTasks(*cluster.Machine) bool { return h.unknownTasks }

func (h *fakeHost) IsZoneSilent(zone string, _ time.Time, _ time.Duration) bool {
	return h.silentZones[zone]
}

func (h *fakeHost) SuspectMachine(id string) { h.suspected = append(h.suspected, id) }

func (h *fakeHost) WithdrawOffer(m *cluster.Machine) { h.withdrawn = append(h.withdrawn, m.ID) }

func (h *fakeHost) RemoveMachine(m *cluster.Machine) { h.machines.Remove(m) }

func (h *fakeHost) RequestPlan() { h.planRequests++ }

// handlerTransport serves requests with an in-process handler.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, errors.Join(err, http.ErrHandlerTimeout)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// fixture is a scaler with its fake dependencies.
type fixture struct {
	*Scaler
	host     *fakeHost
	now      time.Time
	isLeader bool
	events   chan func(time.Time) // posted to the event loop
}

// newFixture returns a scaler with one idle machine, m-1, and a cloud that is served by handler.
func newFixture(t *testing.T, handler http.HandlerFunc) (*fixture, *cluster.Machine) {
	t.Helper()
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{HeartbeatS: 1, LeaseS: 20, CancelS: 40},
		Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.HostLimits{MemoryMB: 100, MaxSockets: 100},
	}}
	state := cluster.NewState()
	f := &fixture{
		host: &fakeHost{term: 5, machines: &state.Machines, silentZones: map[string]bool{}},
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), isLeader: true, events: make(chan func(time.Time), 8),
	}
	derived := set.Derive()
	types := []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 8, Price: 4, SpotPrice: 1, Zones: []string{"a", "b"}, BootS: 10}}
	f.Scaler = New(Deps{
		Settings: set, Derived: derived, Cloud: cloud.NewClient("cloud:1", handlerTransport{handler}, time.Second, 10),
		Catalog: &cluster.Catalog{Types: func() []jobs.MachineType { return types }, DefaultBootTime: derived.Workers.Lease},
		State:   state, Host: f.host,
		Valid: func() bool { return f.isLeader },
		Post: func(ctx context.Context, apply func(time.Time)) {
			select {
			case f.events <- apply:
			case <-ctx.Done():
			}
		},
	})
	return f, f.addMachine("m-1", cluster.Up)
}

func (f *fixture) addMachine(id string, phase cluster.Phase) *cluster.Machine {
	m := cluster.NewMachine(id, f.now)
	m.Phase, m.Type, m.Zone = phase, "c4", "a"
	f.deps.State.Machines.Add(m)
	return m
}

// rejectAll returns a cloud handler that fails the test on any request.
func rejectAll(t *testing.T) http.HandlerFunc {
	t.Helper()
	return func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("unexpected request to the cloud: %s", r.URL.Path)
	}
}

func secondsAfter(start time.Time, seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// batchDemand returns eight pending tasks of a batch job, of two CPUs and ten seconds each, with the
// given number of seconds to the deadline.
func batchDemand(deadlineS float64) placement.Demand {
	spec := &jobs.Spec{ID: "j-1", Shape: jobs.Batch, Tasks: 8, CPUs: 2, EstimatedRuntimeS: 10}
	return placement.Demand{Job: &placement.Job{Spec: spec, DeadlineS: deadlineS}, Count: spec.Tasks}
}

// Without a valid lease no request reaches the cloud, whatever was in flight.
func TestNoRequestsWithoutLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, m := newFixture(t, rejectAll(t))
		f.isLeader = false
		f.Release(t.Context(), m)
		f.requestProvision(t.Context(), cloud.ProvisionRequest{Name: "r-5-1", Count: 1})
		synctest.Wait()
	})
}

// The scaler runs at intervals, and not before the catalog is known.
func TestIsDue(t *testing.T) {
	f, _ := newFixture(t, rejectAll(t))
	f.now = time.Now() // the scaler measures the duration of a run
	f.deps.State.Machines.Remove(f.deps.State.Machines.ByID["m-1"])
	if !f.IsDue(f.now) {
		t.Error("first run is not due")
	}
	f.Reconcile(t.Context(), f.now, nil)
	if f.IsDue(f.now) {
		t.Error("due again immediately")
	}
	later := f.now.Add(time.Minute)
	if !f.IsDue(later) {
		t.Error("not due again after a minute")
	}
	f.deps.Catalog.Types = func() []jobs.MachineType { return nil }
	if f.IsDue(later) {
		t.Error("due without a catalog")
	}
}
