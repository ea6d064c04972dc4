// Package node puts one controller together.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/control"
	"ospreyslip/internal/fleet"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/state"
	"ospreyslip/internal/term"
	"ospreyslip/internal/workers"
)

// catalogKey holds the last known machine types, for a node that starts while
// the cloud does not answer.
const catalogKey = "catalog"

// Shares of what the state service takes from all nodes together. The parts of
// all nodes stay within the whole: the leader writes most of what is written.
const (
	leaderWrites   = 0.64
	followerWrites = 0.16
	requestShare   = 0.5
	memoryShare    = 0.7
)

// Node is one controller.
type Node struct {
	set     *settings.Settings
	d       settings.Derived
	store   *state.Client
	cloud   *fleet.Cloud
	catalog atomic.Pointer[[]jobs.MachineType]
}

// New makes a node from checked settings.
func New(set *settings.Settings) *Node {
	d := set.Derive()
	n := &Node{set: set, d: d}
	n.store = state.New(set.Endpoints.State, d.StateWait, state.Budget{
		Requests: requestShare * set.Deployment.State.RPS,
		Writes:   followerWrites * set.Deployment.State.WriteRPS,
	})
	n.cloud = fleet.NewCloud(set.Endpoints.Cloud, d.CloudWait, set.Deployment.Cloud.RPS*leaderWrites)
	return n
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	// One thread at a time is all that a share of a core can use.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryShare * float64(n.d.MemoryBytes)))

	counts := control.NewCounts()
	gate := &control.Gate{}
	keeper := term.NewKeeper(n.set.Node, n.store, term.Timing{
		Lease: n.d.TermLease, Renew: n.d.TermRenew, Safe: n.d.TermSafe,
		WatchWait: n.d.WatchWait, Retry: n.d.TermRenew,
	})
	users := &jobs.API{
		Settings: n.set, Derived: n.d, Store: n.store, Catalog: n.types, Counts: counts.Get,
	}
	reports := &workers.Handler{
		Answer: gate.Report,
		Leader: func() string {
			if l := keeper.Leader(); l != n.set.Node {
				return l
			}
			return ""
		},
	}
	mux := http.NewServeMux()
	users.Register(mux)
	reports.Register(mux)

	ln, err := net.Listen("tcp", n.set.Listen)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: n.d.UserWait * 2,
		ReadTimeout:       n.d.UserWait * 4,
		IdleTimeout:       n.d.Cancel * 2,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	deps := control.Deps{
		Settings: n.set, Derived: n.d, Store: n.store, Cloud: n.cloud,
		Workers: workers.NewClient(n.d.CallWait), Valid: keeper.Valid, Catalog: n.types, Counts: counts,
	}
	slog.Info("serving", "node", n.set.Node, "zone", n.set.Zone, "bind", n.set.Listen)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(ln, n.d.UserConns))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.d.UserWait)
		defer cancel()
		return srv.Shutdown(stop)
	})
	g.Go(func() error { n.keepCatalog(ctx); return nil })
	g.Go(func() error {
		keeper.Run(ctx, func(ctx context.Context, t term.Term) {
			all := n.set.Deployment.State.WriteRPS
			n.store.SetWrites(leaderWrites * all)
			defer n.store.SetWrites(followerWrites * all)
			gate.Lead(ctx, deps, t)
		})
		return nil
	})
	return g.Wait()
}

func (n *Node) types() []jobs.MachineType {
	if t := n.catalog.Load(); t != nil {
		return *t
	}
	return nil
}

// keepCatalog learns the machine types, and their prices from time to time.
func (n *Node) keepCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 2 * n.d.Cancel
		types, err := n.cloud.Catalog(ctx)
		switch {
		case err == nil:
			n.catalog.Store(&types)
			if raw, err := json.Marshal(types); err == nil {
				_, _, _ = n.store.Commit(ctx, []state.Guard{{Key: catalogKey}}, []state.Write{{Set: catalogKey, Value: raw}})
			}
		case n.types() == nil:
			slog.Debug("machine types not read", "reason", err)
			wait = n.d.TermRenew
			if p, found, err := n.store.Get(ctx, catalogKey); err == nil && found && json.Unmarshal(p.Value, &types) == nil {
				n.catalog.Store(&types)
			}
		default:
			wait = n.d.Cancel / 4
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
