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

// rentals holds the state of the provisioning requests.
type rentals struct {
	made     int                            // in this term; part of the next request name
	inFlight int                            // requests without an outcome
	machines map[autoscaler.MachinePool]int // number of machines that the requests in flight ask for
	refusals map[autoscaler.MachinePool]refusal
}

// refusal is the exponential backoff for a pool in which the cloud lacked capacity.
type refusal struct {
	until time.Time // no machine is requested before
	wait  time.Duration
}

func newRentals() rentals {
	return rentals{machines: map[autoscaler.MachinePool]int{}, refusals: map[autoscaler.MachinePool]refusal{}}
}

// backOff doubles the wait of a pool within the bounds and starts it.
func (r *rentals) backOff(kind autoscaler.MachinePool, now time.Time, least, most time.Duration) {
	wait := min(max(2*r.refusals[kind].wait, least), most)
	r.refusals[kind] = refusal{until: now.Add(wait), wait: wait}
}

// provision requests the missing machines with a limited number of requests in flight. More requests
// would only queue at the cloud and be out of date when they are served.
func (s *Scaler) provision(ctx context.Context, now time.Time, unmet []placement.Demand) {
	if s.rentals.inFlight >= s.deps.Derived.Cloud.RentalsInFlight {
		return
	}
	needs := s.demand(now, unmet)
	if len(needs) == 0 {
		return
	}
	have, coming := s.supply(now)
	plan := autoscaler.PlanScaleOut(needs, coming, autoscaler.Market{
		Types: s.deps.Catalog.Types(), MachineCounts: have,
		OutOfCapacity: func(kind autoscaler.MachinePool) bool { return s.isUnavailable(kind, now) },
	})
	for _, kind := range autoscaler.LargestFirst(plan) {
		for left := plan[kind]; left > 0 && s.rentals.inFlight < s.deps.Derived.Cloud.RentalsInFlight; left -= autoscaler.MaxMachinesPerRequest {
			s.startRental(ctx, kind, min(left, autoscaler.MaxMachinesPerRequest))
		}
	}
}

// supply counts the machines in each pool: all that are not being released, and those expected to be
// up soon. Machines in requests in flight count as both.
func (s *Scaler) supply(now time.Time) (have, coming map[autoscaler.MachinePool]int) {
	have, coming = map[autoscaler.MachinePool]int{}, map[autoscaler.MachinePool]int{}
	for _, m := range s.deps.State.Machines.All {
		if m.Phase != cluster.Releasing {
			have[kindOf(m)]++
		}
		if s.isBootingInTime(m, now) {
			coming[kindOf(m)]++
		}
	}
	for kind, count := range s.rentals.machines {
		have[kind] += count
		coming[kind] += count
	}
	return have, coming
}

// isUnavailable reports whether machines of a pool should not be requested now. Either the cloud
// lacked capacity a short while ago, or the pool's zone is unreachable: a machine booted there would
// be paid for but unusable.
func (s *Scaler) isUnavailable(kind autoscaler.MachinePool, now time.Time) bool {
	return now.Before(s.rentals.refusals[kind].until) || s.host.IsZoneSilent(kind.Zone, now, 2*s.deps.Derived.Workers.CancelDeadline)
}

func (s *Scaler) startRental(ctx context.Context, kind autoscaler.MachinePool, count int) {
	s.rentals.made++
	s.rentals.inFlight++
	s.rentals.machines[kind] += count
	name := fmt.Sprintf("r-%d-%d", s.host.Term(), s.rentals.made)
	go s.requestRental(ctx, cloud.ProvisionRequest{Name: name, MachinePool: kind, Count: count})
}

// requestRental sends a provisioning request until its outcome is known. After any failure but a
// lack of capacity it sends the same request again, which the cloud executes only once. It runs on
// its own goroutine.
func (s *Scaler) requestRental(ctx context.Context, rental cloud.ProvisionRequest) {
	ids, err := backoff.Retry(ctx, func() ([]string, error) {
		if !s.deps.Valid() {
			return nil, backoff.Permanent(errNotLeading)
		}
		ids, err := s.deps.Cloud.Provision(ctx, rental)
		if errors.Is(err, cloud.ErrNoCapacity) {
			return nil, backoff.Permanent(err)
		}
		return ids, err
	}, backoff.WithBackOff(s.retryBackOff()), backoff.WithMaxElapsedTime(0))
	s.deps.Post(ctx, func(now time.Time) { s.rentalDone(ctx, rental, ids, err, now) })
}

// rentalDone processes the outcome of a provisioning request.
func (s *Scaler) rentalDone(ctx context.Context, rental cloud.ProvisionRequest, ids []string, err error, now time.Time) {
	s.rentals.inFlight--
	s.rentals.machines[rental.MachinePool] -= rental.Count
	if err != nil || len(ids) < rental.Count {
		s.rentals.backOff(rental.MachinePool, now, 2*s.deps.Derived.Leader.ControlInterval, 8*s.deps.Derived.Cloud.ListLag)
	} else {
		delete(s.rentals.refusals, rental.MachinePool)
	}
	level := slog.LevelInfo
	if len(ids) == 0 {
		level = slog.LevelDebug
	}
	slog.Log(ctx, level, "machines provisioned", "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot, "asked", rental.Count, "got", len(ids), "term", s.host.Token())
	for _, id := range ids {
		if s.deps.State.Machines.ByID[id] == nil {
			m := cluster.NewMachine(id, now)
			m.Type, m.Zone, m.Spot = rental.Type, rental.Zone, rental.Spot
			s.deps.State.Machines.Add(m)
		}
	}
}

// MachineUp marks a booting machine as up after its first heartbeat.
func (s *Scaler) MachineUp(machine *cluster.Machine, now time.Time) {
	machine.Phase = cluster.Up
	machine.Rental.IdleSince = now
	took := now.Sub(machine.Rental.KnownSince)
	slog.Info("machine up", "machine", machine.ID, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot, "term", s.host.Token(), "bootS", took.Seconds())
	s.host.RequestPlan()
}

func kindOf(machine *cluster.Machine) autoscaler.MachinePool {
	return autoscaler.MachinePool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// errNotLeading stops a request that only the leader may send to the cloud.
var errNotLeading = errors.New("not the leader")

// retryBackOff returns the backoff between attempts of one request.
func (s *Scaler) retryBackOff() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = s.deps.Derived.Workers.HeartbeatInterval / 2
	waits.MaxInterval = 2 * s.deps.Derived.Workers.HeartbeatInterval
	return waits
}
