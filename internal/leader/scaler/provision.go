package scaler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/cloud"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// provisionRequests holds the state of the provisioning requests.
type provisionRequests struct {
	count            int                            // in this term; part of the next request name
	inFlight         int                            // requests without an outcome
	machinesInFlight map[autoscaler.MachinePool]int // machines requested
	capacityBackoffs map[autoscaler.MachinePool]capacityBackoff
}

// capacityBackoff is the exponential backoff for a pool in which the cloud lacked capacity.
type capacityBackoff struct {
	until time.Time // no machine is requested before
	wait  time.Duration
}

func newProvisionRequests() provisionRequests {
	return provisionRequests{machinesInFlight: map[autoscaler.MachinePool]int{}, capacityBackoffs: map[autoscaler.MachinePool]capacityBackoff{}}
}

// backOff doubles the wait of a pool within the bounds and starts it.
func (r *provisionRequests) backOff(pool autoscaler.MachinePool, now time.Time, minWait, maxWait time.Duration) {
	wait := min(max(2*r.capacityBackoffs[pool].wait, minWait), maxWait)
	r.capacityBackoffs[pool] = capacityBackoff{until: now.Add(wait), wait: wait}
}

// provision requests the missing machines with a limited number of requests in flight. More requests
// would only queue at the cloud and be out of date when they are served.
func (s *Scaler) provision(ctx context.Context, now time.Time, unmetDemand []placement.Demand) {
	if s.provisioning.inFlight >= s.deps.Derived.Cloud.MaxProvisionRequestsInFlight {
		return
	}
	demands := s.demand(now, unmetDemand)
	if len(demands) == 0 {
		return
	}
	existing, booting := s.supply(now)
	plan := autoscaler.PlanScaleOut(demands, booting, autoscaler.Market{
		Types: s.deps.Catalog.Types(), MachineCounts: existing,
		OutOfCapacity: func(pool autoscaler.MachinePool) bool { return s.isUnavailable(pool, now) },
		Running:       s.runningMachines(now, demands),
	})
	for _, pool := range autoscaler.PoolsLargestFirst(plan) {
		for remaining := plan[pool]; remaining > 0 && s.provisioning.inFlight < s.deps.Derived.Cloud.MaxProvisionRequestsInFlight; remaining -= autoscaler.MaxMachinesPerRequest {
			s.startProvision(ctx, pool, min(remaining, autoscaler.MaxMachinesPerRequest))
		}
	}
}

// supply counts the machines in each pool: all that are not being released, and those expected to be
// up soon. Machines in requests in flight count as both.
func (s *Scaler) supply(now time.Time) (existing, booting map[autoscaler.MachinePool]int) {
	existing, booting = map[autoscaler.MachinePool]int{}, map[autoscaler.MachinePool]int{}
	for _, m := range s.deps.State.Machines.All {
		if m.Phase != cluster.Releasing {
			existing[poolOf(m)]++
		}
		if s.isBootingOnTime(m, now) {
			booting[poolOf(m)]++
		}
	}
	for pool, count := range s.provisioning.machinesInFlight {
		existing[pool] += count
		booting[pool] += count
	}
	return existing, booting
}

// isUnavailable reports whether machines of a pool should not be requested now. Either the cloud
// lacked capacity a short while ago, or the pool's zone is unreachable: a machine booted there would
// be paid for but unusable.
func (s *Scaler) isUnavailable(pool autoscaler.MachinePool, now time.Time) bool {
	return now.Before(s.provisioning.capacityBackoffs[pool].until) || s.host.IsZoneSilent(pool.Zone, now, 2*s.deps.Derived.Workers.CancelDeadline)
}

func (s *Scaler) startProvision(ctx context.Context, pool autoscaler.MachinePool, count int) {
	s.provisioning.count++
	s.provisioning.inFlight++
	s.provisioning.machinesInFlight[pool] += count
	name := fmt.Sprintf("r-%d-%d", s.host.Term(), s.provisioning.count)
	go s.requestProvision(ctx, cloud.ProvisionRequest{Name: name, MachinePool: pool, Count: count})
}

// requestProvision sends a provisioning request until its outcome is known or leadership is not
// held. After any failure but a lack of capacity it sends the same request again, which the cloud
// executes only once. It runs on its own goroutine.
func (s *Scaler) requestProvision(ctx context.Context, request cloud.ProvisionRequest) {
	ids, err := backoff.Retry(ctx, func() ([]string, error) {
		if !s.deps.Valid() {
			return nil, backoff.Permanent(errNotLeading)
		}
		ids, err := s.deps.Cloud.Provision(ctx, request)
		if errors.Is(err, cloud.ErrNoCapacity) {
			return nil, backoff.Permanent(err)
		}
		return ids, err
	}, backoff.WithBackOff(s.retryBackOff()), backoff.WithMaxElapsedTime(0))
	s.deps.Post(ctx, func(now time.Time) { s.provisionDone(ctx, request, ids, err, now) })
}

// provisionDone processes the outcome of a provisioning request.
func (s *Scaler) provisionDone(ctx context.Context, request cloud.ProvisionRequest, ids []string, err error, now time.Time) {
	s.provisioning.inFlight--
	s.provisioning.machinesInFlight[request.MachinePool] -= request.Count
	if err != nil || len(ids) < request.Count {
		s.provisioning.backOff(request.MachinePool, now, 2*s.deps.Derived.Leader.ControlInterval, 8*s.deps.Derived.Cloud.ListLag)
	} else {
		delete(s.provisioning.capacityBackoffs, request.MachinePool)
	}
	level := slog.LevelInfo
	if len(ids) == 0 {
		level = slog.LevelDebug
	}
	slog.Log(ctx, level, "machines provisioned", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "asked", request.Count, "got", len(ids), "term", s.host.Token())
	for _, id := range ids {
		if s.deps.State.Machines.ByID[id] == nil {
			m := cluster.NewMachine(id, now)
			m.Type, m.Zone, m.Spot = request.Type, request.Zone, request.Spot
			s.deps.State.Machines.Add(m)
		}
	}
}

// MachineUp marks a booting machine as up after its first heartbeat.
func (s *Scaler) MachineUp(machine *cluster.Machine, now time.Time) {
	machine.Phase = cluster.Up
	machine.Cloud.IdleSince = now
	took := now.Sub(machine.Cloud.KnownSince)
	slog.Info("machine up", "machine", machine.ID, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot, "term", s.host.Token(), "bootS", took.Seconds())
	s.host.RequestPlan()
}

func poolOf(machine *cluster.Machine) autoscaler.MachinePool {
	return autoscaler.MachinePool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// errNotLeading stops a request that only the leader may send to the cloud.
var errNotLeading = errors.New("not the leader")

// retryBackOff returns the backoff between attempts of one request.
func (s *Scaler) retryBackOff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = s.deps.Derived.Workers.HeartbeatInterval / 2
	policy.MaxInterval = 2 * s.deps.Derived.Workers.HeartbeatInterval
	return policy
}
